package fpcoalesce

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var errFailed = errors.New("failed")

// TestReader lets goroutines call at times while calls take a second.
func TestReader(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		at      []time.Duration
		results []error
		overlap time.Duration
		// want holds the number of the call that each result came from, and end when it came.
		want []int
		end  []time.Duration
	}{
		"alone":                             {[]time.Duration{0}, []error{nil}, 0, []int{1}, []time.Duration{second}},
		"one after the other":               {[]time.Duration{0, 2 * second}, []error{nil, nil}, 0, []int{1, 2}, []time.Duration{second, 3 * second}},
		"late ones share the next":          {[]time.Duration{0, second / 4, second / 2}, []error{nil, nil}, 0, []int{1, 2, 2}, []time.Duration{second, 2 * second, 2 * second}},
		"others don't wait for a long call": {[]time.Duration{0, second / 10, second / 5}, []error{nil, nil}, second / 4, []int{1, 2, 2}, []time.Duration{second, 5 * second / 4, 5 * second / 4}},
		"a failure ends those waiting":      {[]time.Duration{0, second / 4, 2 * second}, []error{errFailed, nil}, 0, []int{0, 0, 2}, []time.Duration{second, second, 3 * second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				var calls atomic.Int32
				r := Reader[int]{Overlap: tt.overlap, Read: func() (int, error) {
					n := int(calls.Add(1))
					time.Sleep(second)
					return n, tt.results[n-1]
				}}
				got, ends := make([]int, len(tt.at)), make([]time.Duration, len(tt.at))
				var callers sync.WaitGroup
				for i, at := range tt.at {
					callers.Go(func() {
						time.Sleep(at)
						if v, err := r.Get(context.Background()); err == nil {
							got[i] = v
						}
						ends[i] = time.Since(start)
					})
				}
				callers.Wait()
				is.Equal(got, tt.want)
				is.Equal(ends, tt.end)
			})
		})
	}
}

// TestReaderLeaves ends the context of one goroutine; the call goes on for another one.
func TestReaderLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := Reader[int]{Read: func() (int, error) { time.Sleep(time.Second); return 7, nil }}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second/2)
		defer cancel()
		go func() {
			v, err := r.Get(context.Background())
			is.NoErr(err)
			is.Equal(v, 7)
		}()
		_, err := r.Get(ctx)
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(3 * time.Second)
	})
}
