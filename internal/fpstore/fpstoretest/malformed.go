package fpstoretest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpconn/fpconntest"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

// RunMalformed checks that a client of a store takes no bytes for an answer that are none: it doesn't know then what
// became of a write.
func RunMalformed(t *testing.T, open func(address string) fpstore.Store) {
	for name, text := range fpconntest.Malformed {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			s := open(fpconntest.ServeText(t, fmt.Sprintf(text, "")))
			_, err := s.Commit(ctx, fpstore.Transaction{Puts: []fpstore.Put{{Key: "a", Value: []byte("b")}}})
			is.True(errors.Is(err, fpstore.ErrOutcomeUnknown))
			_, err = s.Range(ctx, "a", "")
			is.True(err != nil)
		})
	}
}
