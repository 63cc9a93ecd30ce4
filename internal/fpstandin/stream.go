package fpstandin

import (
	"io"
	"net/http"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
)

type (
	// progress is a consistent look at an attempt.
	progress struct {
		tokens  int
		cached  int
		ended   bool
		gone    bool
		changed chan struct{}
	}
)

func (e *Engine) progress(a *attempt) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{
		tokens:  a.tokens,
		cached:  a.cached,
		ended:   a.ended,
		gone:    e.attempts[a.id] != a,
		changed: a.changed,
	}
}

// answer sends an attempt's text from an offset on, as a stream or whole.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, a *attempt, stream bool, offset int) {
	id := a.id
	if e.faults.take(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = "crossed-" + id
	}
	w.Header().Set(fpchat.AttemptHeader, id)
	if !stream {
		e.answerWhole(w, r, a, id, offset)
		return
	}
	w.Header().Set("Content-Type", fpchat.EventStream)
	e.answerStream(w, r, a, id, offset)
}

func (e *Engine) usage(a *attempt, p progress) fpchat.Usage {
	done := p.tokens - a.from
	u := fpchat.Usage{PromptTokens: a.prompt, CompletionTokens: done, TotalTokens: a.prompt + done}
	u.Details.CachedTokens = p.cached
	return u
}

func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, a *attempt, id string, offset int) {
	for {
		p := e.progress(a)
		if p.gone {
			panic(http.ErrAbortHandler)
		}
		if p.ended {
			writeJSON(w, fpchat.Whole(id, e.settings.Model, a.textFrom(offset, p.tokens), e.usage(a, p)))
			return
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) answerStream(w http.ResponseWriter, r *http.Request, a *attempt, id string, offset int) {
	control := http.NewResponseController(w)
	beat := time.NewTicker(heartbeatEvery)
	defer beat.Stop()
	_ = control.Flush()
	for {
		p := e.progress(a)
		if p.gone {
			panic(http.ErrAbortHandler)
		}
		e.misbehave(r, p.tokens-a.from)
		if text := a.textFrom(offset, p.tokens); text != "" {
			c := fpchat.Chunk(id, e.settings.Model, offset, text)
			u := e.usage(a, p)
			c.Usage = &u
			if fpchat.WriteEvent(w, c) != nil {
				return
			}
			offset += len(text)
		}
		if p.ended {
			_ = fpchat.WriteEvent(w, fpchat.End(id, e.settings.Model, offset, e.usage(a, p)))
			_ = fpchat.WriteDone(w)
			return
		}
		_ = control.Flush()
		select {
		case <-p.changed:
		case <-beat.C:
			if _, err := io.WriteString(w, fpchat.Heartbeat); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// misbehave cuts or silences a stream that has sent enough tokens; each fault
// strikes one stream.
func (e *Engine) misbehave(r *http.Request, tokens int) {
	f := e.faults.get()
	if f.CutAfterTokens > 0 && tokens >= f.CutAfterTokens {
		e.faults.take(func(f *Faults) *int { f.CutAfterTokens = 0; return &f.LoseAnswers })
		panic(http.ErrAbortHandler)
	}
	if f.SilentAfterTokens > 0 && tokens >= f.SilentAfterTokens {
		e.faults.take(func(f *Faults) *int { f.SilentAfterTokens = 0; return &f.LoseAnswers })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}
