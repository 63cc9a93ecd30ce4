package fpchat

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// AttemptHeader carries the attempt's ID; an answer must echo it.
	AttemptHeader = "X-Attempt-Id"
	// RequestHeader carries the caller's request ID.
	RequestHeader = "X-Request-Id"
	// ClassHeader carries the request's class.
	ClassHeader = "X-Fescuepoint-Class"
	// TeamHeader names the team that the key must belong to.
	TeamHeader = "X-Fescuepoint-Team"
	// IdempotentHeader is "false" on a request that must run at most once.
	IdempotentHeader = "X-Fescuepoint-Idempotent"
	// OutcomeHeader carries the outcome of an answer that is an error.
	OutcomeHeader = "X-Fescuepoint-Outcome"
	// UpstreamHeader names the upstream that answered.
	UpstreamHeader = "X-Fescuepoint-Upstream"
	// ReasonHeader says why that upstream was chosen.
	ReasonHeader = "X-Fescuepoint-Reason"
	// WeightsHeader carries the weights version that a request was placed for.
	WeightsHeader = "X-Weights"
	// ImportHeader asks an engine to import the prompt's blocks from the cache store first.
	ImportHeader = "X-Import"
	// EventStream is the content type of a streamed answer.
	EventStream = "text/event-stream"
	// Heartbeat is the comment that keeps a quiet stream alive.
	Heartbeat = ": heartbeat\n\n"
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes = 1 << 20

	doneMark = "[DONE]"
)

// ErrEvent is returned for an event that is not a chunk.
var ErrEvent = errors.New("malformed event")

type (
	// Message is one turn of a conversation.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Request is a chat completion request; PrefixLevels lists how many leading
	// messages end each shared level.
	Request struct {
		Model        string    `json:"model"`
		Adapter      string    `json:"adapter,omitempty"`
		Messages     []Message `json:"messages"`
		MaxTokens    int       `json:"max_tokens,omitempty"`
		Stream       bool      `json:"stream,omitempty"`
		PrefixLevels []int     `json:"prefix_levels,omitempty"`
		// CacheSalt seeds the engine's block hashes; only the router sets it.
		CacheSalt string `json:"cache_salt,omitempty"`
		// Priority is the time in Unix milliseconds by which work should begin; only the router sets it.
		Priority int64 `json:"priority,omitempty"`
		// ContinueFinalMessage asks to continue the last message instead of answering it.
		ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
	}

	// Usage counts tokens.
	Usage struct {
		PromptTokens     int          `json:"prompt_tokens"`
		CompletionTokens int          `json:"completion_tokens"`
		TotalTokens      int          `json:"total_tokens"`
		Details          UsageDetails `json:"prompt_tokens_details"`
	}

	// UsageDetails counts the prompt tokens found cached.
	UsageDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}

	// Choice is the one choice of an answer or chunk.
	Choice struct {
		Index        int      `json:"index"`
		Message      *Message `json:"message,omitempty"`
		Delta        *Message `json:"delta,omitempty"`
		FinishReason string   `json:"finish_reason,omitempty"`
	}

	// Answer is a whole answer or one chunk of a stream; Offset and Total count bytes of text.
	Answer struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []Choice `json:"choices"`
		Usage   *Usage   `json:"usage,omitempty"`
		Offset  int      `json:"offset"`
		Total   *int     `json:"total,omitempty"`
	}

	// Events reads chunks from an event stream.
	Events struct {
		lines *bufio.Scanner
	}
)

// Text returns the prompt as one text, which hashing and engines share.
func (r Request) Text() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// LevelEnds returns the text lengths at which the declared levels end, or,
// with none declared, those of every message but the last.
func (r Request) LevelEnds() []int {
	ends := make([]int, 0, len(r.Messages))
	sum := 0
	for _, m := range r.Messages {
		sum += len(m.Content) + 1
		ends = append(ends, sum)
	}
	if len(r.PrefixLevels) == 0 {
		return ends[:max(len(ends)-1, 0)]
	}
	var declared []int
	for _, n := range r.PrefixLevels {
		if n >= 1 && n <= len(ends) {
			declared = append(declared, ends[n-1])
		}
	}
	return declared
}

// Prompt returns the prompt's levels under a seed.
func (r Request) Prompt(s fpprefix.Seed) fpprefix.Prompt {
	return fpprefix.NewPrompt(s, r.Text(), r.LevelEnds())
}

// Text returns the answer's text.
func (a Answer) Text() string {
	if len(a.Choices) == 0 {
		return ""
	}
	c := a.Choices[0]
	switch {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return c.Message.Content
	}
	return ""
}

// Chunk returns a stream's chunk of text at offset.
func Chunk(id, model string, offset int, text string) Answer {
	return Answer{
		ID:      id,
		Object:  "chat.completion.chunk",
		Model:   model,
		Offset:  offset,
		Choices: []Choice{{Delta: &Message{Role: "assistant", Content: text}}},
	}
}

// End returns a stream's last chunk, which states the total.
func End(id, model string, total int, u Usage) Answer {
	a := Chunk(id, model, total, "")
	a.Choices[0].FinishReason = "stop"
	a.Total = &total
	a.Usage = &u
	return a
}

// Whole returns an unstreamed answer.
func Whole(id, model, text string, u Usage) Answer {
	total := len(text)
	return Answer{
		ID:      id,
		Object:  "chat.completion",
		Model:   model,
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: text}, FinishReason: "stop"}},
		Usage:   &u,
		Total:   &total,
	}
}

// WriteEvent writes a chunk as one event.
func WriteEvent(w io.Writer, a Answer) error {
	data, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "encode chunk")
	}
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err = w.Write(line)
	return err
}

// WriteDone writes the mark that ends a stream.
func WriteDone(w io.Writer) error {
	_, err := io.WriteString(w, "data: "+doneMark+"\n\n")
	return err
}

// NewEvents returns a reader of the chunks of r.
func NewEvents(r io.Reader) *Events {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	return &Events{lines: s}
}

// Next returns the next chunk; ok is false for a heartbeat, and the error is
// io.EOF after the mark that ends the stream, io.ErrUnexpectedEOF without it.
func (e *Events) Next() (a Answer, ok bool, err error) {
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if len(line) == 0 {
			continue
		}
		if line[0] == ':' {
			return Answer{}, false, nil
		}
		data, found := bytes.CutPrefix(line, []byte("data: "))
		if !found {
			return Answer{}, false, errors.Wrapf(ErrEvent, "line of %d bytes", len(line))
		}
		if string(data) == doneMark {
			return Answer{}, false, io.EOF
		}
		if err := json.Unmarshal(data, &a); err != nil {
			return Answer{}, false, errors.Mark(errors.Wrap(err, "chunk"), ErrEvent)
		}
		return a, true, nil
	}
	if err := e.lines.Err(); err != nil {
		return Answer{}, false, errors.Wrap(err, "stream")
	}
	return Answer{}, false, io.ErrUnexpectedEOF
}
