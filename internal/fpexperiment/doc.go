// Package fpexperiment simulates a workload against engine models in virtual time and compares
// placement policies by prefix hit rate, time to first token, recomputed tokens and bytes sent to
// other zones.
package fpexperiment
