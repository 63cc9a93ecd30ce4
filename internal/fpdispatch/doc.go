// Package fpdispatch carries a request from placement to its outcome: it sends
// attempts, assembles answers, resumes and continues broken ones, retries what
// may be retried, and dispatches non-idempotent requests at most once.
package fpdispatch
