// Package fpcaller implements the HTTP API that a host offers to callers: chat
// completions, models and calls of services. Every error carries the request's outcome.
package fpcaller
