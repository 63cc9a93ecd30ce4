package fpdispatch

import (
	"fmt"
	"testing"
)

func (tf *testFleet) logRecords(t *testing.T, id string) {
	t.Helper()
	for _, h := range tf.hosts {
		for _, r := range h.records.RecordsOf(id) {
			t.Log(fmt.Sprintf("%8.3f", r.At.Sub(tf.started).Seconds()), r.String())
		}
	}
}
