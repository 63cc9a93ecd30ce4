// Package fppeerv1connect is the generated code of the protocol's clients and handlers.
package fppeerv1connect
