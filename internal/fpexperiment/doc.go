// Package fpexperiment plays a workload against engine models in virtual time
// and measures placement policies against each other: prefix hit rate, time to
// first token, wasted recomputation and bytes between regions.
package fpexperiment
