// Package fppeerv1 is the generated code of the protocol between entry hosts.
package fppeerv1
