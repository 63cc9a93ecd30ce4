// Package fpreport prints the tables and draws the plots of the placement
// experiment.
package fpreport
