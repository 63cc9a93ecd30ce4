package fpdispatch

import (
	"fmt"
	"testing"
)

func (w *world) trace(t *testing.T, id string) {
	t.Helper()
	for _, h := range w.hosts {
		for _, r := range h.recorded.RecordsOf(id) {
			t.Log(fmt.Sprintf("%8.3f", r.At.Sub(w.started).Seconds()), r.String())
		}
	}
}
