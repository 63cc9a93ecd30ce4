package fpstandin

import (
	"io"
	"net/http"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
)

type (
	// attemptProgress is a snapshot of an attempt; dropped is set after a cancel, a crash or its
	// expiry.
	attemptProgress struct {
		tokens  int
		cached  int
		ended   bool
		dropped bool
		changed chan struct{}
	}
)

func (e *Engine) progressOf(a *attempt) attemptProgress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return attemptProgress{
		tokens:  a.availableTokens,
		cached:  a.cachedTokens,
		ended:   a.ended,
		dropped: e.attempts[a.id] != a,
		changed: a.changed,
	}
}

// serveAnswer sends an attempt's text from a byte offset on, as a stream or whole.
func (e *Engine) serveAnswer(w http.ResponseWriter, r *http.Request, a *attempt, stream bool, offset int) {
	id := a.id
	if e.faults.consumeFault(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = "crossed-" + id
	}
	w.Header().Set(fpchat.AttemptHeader, id)
	if version := e.currentSoftwareVersion(); version != "" {
		w.Header().Set(fpchat.SoftwareHeader, version)
	}
	if !stream {
		e.serveWholeAnswer(w, r, a, id, offset)
		return
	}
	w.Header().Set("Content-Type", fpchat.EventStream)
	e.serveAnswerStream(w, r, a, id, offset)
}

func (e *Engine) usageOf(a *attempt, p attemptProgress) fpchat.Usage {
	generated := p.tokens - a.firstToken
	u := fpchat.Usage{PromptTokens: a.promptTokens, CompletionTokens: generated, TotalTokens: a.promptTokens + generated}
	u.PromptTokensDetails.CachedTokens = p.cached
	return u
}

func (e *Engine) serveWholeAnswer(w http.ResponseWriter, r *http.Request, a *attempt, id string, offset int) {
	for {
		p := e.progressOf(a)
		if p.dropped {
			panic(http.ErrAbortHandler)
		}
		if p.ended {
			writeJSON(w, fpchat.NewWholeAnswer(id, e.settings.Model, a.textFrom(offset, p.tokens), e.usageOf(a, p)))
			return
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) serveAnswerStream(w http.ResponseWriter, r *http.Request, a *attempt, id string, offset int) {
	control := http.NewResponseController(w)
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	_ = control.Flush()
	for {
		p := e.progressOf(a)
		if p.dropped {
			panic(http.ErrAbortHandler)
		}
		e.injectStreamFault(r, p.tokens-a.firstToken)
		if text := a.textFrom(offset, p.tokens); text != "" {
			c := fpchat.NewChunk(id, e.settings.Model, offset, text)
			u := e.usageOf(a, p)
			c.Usage = &u
			if fpchat.WriteEvent(w, c) != nil {
				return
			}
			offset += len(text)
		}
		if p.ended {
			_ = fpchat.WriteEvent(w, fpchat.NewFinalChunk(id, e.settings.Model, offset, e.usageOf(a, p)))
			_ = fpchat.WriteDone(w)
			return
		}
		_ = control.Flush()
		select {
		case <-p.changed:
		case <-heartbeats.C:
			if _, err := io.WriteString(w, fpchat.Heartbeat); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// injectStreamFault aborts or silences a stream once it has sent the number of tokens that the
// fault names. Each fault is cleared when it applies, so that it affects one stream only; clearing
// it by consumeFault also uses up one of LoseAnswers, if any are left.
func (e *Engine) injectStreamFault(r *http.Request, tokens int) {
	f := e.faults.currentFaults()
	if f.CutAfterTokens > 0 && tokens >= f.CutAfterTokens {
		e.faults.consumeFault(func(f *Faults) *int { f.CutAfterTokens = 0; return &f.LoseAnswers })
		panic(http.ErrAbortHandler)
	}
	if f.SilentAfterTokens > 0 && tokens >= f.SilentAfterTokens {
		e.faults.consumeFault(func(f *Faults) *int { f.SilentAfterTokens = 0; return &f.LoseAnswers })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}
