package fplog

import (
	"log"
	"strings"
)

// lineFunc passes what a standard logger writes to a function.
type lineFunc func(text string)

// Write passes a line on.
func (f lineFunc) Write(p []byte) (int, error) {
	f(strings.TrimSpace(string(p)))
	return len(p), nil
}

// NewStandard returns a logger of the standard library that passes each line to a function, for libraries that log by one.
func NewStandard(line func(text string)) *log.Logger { return log.New(lineFunc(line), "", 0) }
