// Package fpmetric counts what the system does, with histograms for each team and class.
package fpmetric
