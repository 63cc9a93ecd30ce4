package fpstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

type (
	// Faults says how a stand-in misbehaves; the zero value behaves well.
	Faults struct {
		// Down drops every connection without an answer.
		Down bool
		// Silent takes requests and never answers, until the caller gives up.
		Silent bool
		// DelayMilliseconds holds every answer back.
		DelayMilliseconds int
		// LoseAnswers is the number of next calls that take effect but get no answer.
		LoseAnswers int
		// CrossAnswers is the number of next answers that carry another attempt's ID.
		CrossAnswers int
		// CutAfterTokens ends streams without their end after so many tokens.
		CutAfterTokens int
		// SilentAfterTokens stops streams, heartbeats too, after so many tokens.
		SilentAfterTokens int
	}

	// faultSwitch holds a stand-in's faults and applies those common to all.
	faultSwitch struct {
		mu  sync.Mutex
		now Faults
	}

	// discard swallows an answer that shall be lost.
	discard struct{ header http.Header }
)

func (f *faultSwitch) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *faultSwitch) set(n Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = n
}

// take spends one of a counted fault and reports whether there was one.
func (f *faultSwitch) take(count func(*Faults) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := count(&f.now)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// serveFaults lets a test set the faults by POST and read them by GET.
func (f *faultSwitch) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var n Faults
		if err := json.NewDecoder(r.Body).Decode(&n); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.set(n)
	}
	writeJSON(w, f.get())
}

// wrap applies the common faults around a handler; the switch itself stays reachable.
func (f *faultSwitch) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			f.serveFaults(w, r)
			return
		}
		now := f.get()
		if now.Down {
			panic(http.ErrAbortHandler)
		}
		if now.Silent {
			// Only a request whose body was read tells when its caller leaves.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		fpclock.Sleep(r.Context(), time.Duration(now.DelayMilliseconds)*time.Millisecond)
		if f.take(func(f *Faults) *int { return &f.LoseAnswers }) {
			next.ServeHTTP(&discard{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Header returns a header that goes nowhere.
func (d *discard) Header() http.Header { return d.header }

// Write swallows the bytes.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader does nothing.
func (d *discard) WriteHeader(int) {}

// Flush does nothing.
func (d *discard) Flush() {}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes a request's body, or answers that it is malformed.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
