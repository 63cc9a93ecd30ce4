// Package fpmetric holds a host's metrics, with counters and histograms for each team and class.
package fpmetric
