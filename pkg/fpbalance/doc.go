// Package fpbalance selects replicas for requests with and without prompts, by
// the prompt tokens that each replica has cached, the predicted wait, the distance
// and the version of the weights. It does no I/O and has no clock.
package fpbalance
