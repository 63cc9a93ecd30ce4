// Package fpreport writes the tables and plots of the placement experiment.
package fpreport
