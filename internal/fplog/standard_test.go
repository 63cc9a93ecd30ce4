package fplog

import (
	"testing"

	"github.com/matryer/is"
)

// TestStandard checks that each line of a standard logger is passed on without its end.
func TestStandard(t *testing.T) {
	var lines []string
	l := NewStandard(func(text string) { lines = append(lines, text) })
	l.Printf("http: panic serving %s", "a")
	l.Print("two\nlines\n")
	is.New(t).Equal(lines, []string{"http: panic serving a", "two\nlines"})
}
