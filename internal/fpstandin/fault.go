package fpstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

type (
	// Faults lists the faults that a stand-in injects; the zero value injects none.
	Faults struct {
		// Down drops every connection without an answer.
		Down bool
		// Silent accepts requests and never answers; it holds each until the caller gives up.
		Silent bool
		// DelayMilliseconds delays every request.
		DelayMilliseconds int
		// LoseAnswers is the number of further calls that take effect but get no answer.
		LoseAnswers int
		// CrossAnswers is the number of further answers that carry another attempt's ID.
		CrossAnswers int
		// RepeatRefusals is the number of further calls that take effect and are answered by a refusal
		// without an attempt's ID, as one of an earlier call that is written once more.
		RepeatRefusals int
		// FailedResumes is the number of further resumed connections that are answered by an error, and
		// ResumePages the number of those that are answered by a page in place of the stream.
		FailedResumes int
		ResumePages   int
		// CutAfterTokens aborts the next stream that has sent this many tokens; zero disables it.
		CutAfterTokens int
		// SilentAfterTokens makes the next stream that has sent this many tokens stop sending,
		// heartbeats included; zero disables it.
		SilentAfterTokens int
	}

	// faultInjector holds a stand-in's faults and injects those common to all stand-ins.
	faultInjector struct {
		mu      sync.Mutex
		current Faults
	}

	// discardingWriter is a ResponseWriter for an answer that is to be lost.
	discardingWriter struct{ header http.Header }
)

func (f *faultInjector) currentFaults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *faultInjector) setFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = faults
}

// consumeFault decrements a fault's remaining count and reports whether it was above zero.
func (f *faultInjector) consumeFault(remaining func(*Faults) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := remaining(&f.current)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// serveFaults sets the faults on POST and returns them on POST and GET.
func (f *faultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.setFaults(faults)
	}
	writeJSON(w, f.currentFaults())
}

// wrapHandler injects the common faults into a handler. /faults stays reachable under every fault,
// so that it can be lifted.
func (f *faultInjector) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			f.serveFaults(w, r)
			return
		}
		faults := f.currentFaults()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		if faults.Silent {
			// net/http cancels the context of a disconnected caller only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		fpclock.Sleep(r.Context(), time.Duration(faults.DelayMilliseconds)*time.Millisecond)
		if f.consumeFault(func(f *Faults) *int { return &f.LoseAnswers }) {
			next.ServeHTTP(&discardingWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		if f.consumeFault(func(f *Faults) *int { return &f.RepeatRefusals }) {
			repeatRefusal(w, r, next)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// withLeaving returns a handler whose answers say whether the stand-in leaves.
func withLeaving(next http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving() {
			w.Header().Set(fpchat.LeavingHeader, "true")
		}
		next.ServeHTTP(w, r)
	})
}

// Header returns a header that is never sent.
func (d *discardingWriter) Header() http.Header { return d.header }

// Write discards the bytes.
func (d *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader does nothing.
func (d *discardingWriter) WriteHeader(int) {}

// Flush does nothing.
func (d *discardingWriter) Flush() {}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes a request's body and reports whether it did; otherwise it answers 400.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
