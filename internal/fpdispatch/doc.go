// Package fpdispatch takes a request from placement to its outcome: it sends
// attempts, assembles answers, resumes interrupted answers or continues them at
// another replica, retries what is safe to retry, and dispatches non-idempotent
// requests at most once.
package fpdispatch
