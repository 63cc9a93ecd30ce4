// Package fprecord keeps short typed records of the decisions that matter, in
// a bounded ring, so that an operator can be told why something happened.
package fprecord
