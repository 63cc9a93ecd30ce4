// Package fpcaller serves callers: chat completions, models and plain
// services over HTTP, with the outcome in every error.
package fpcaller
