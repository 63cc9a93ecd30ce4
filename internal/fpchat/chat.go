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
	// ClassHeader carries the request's class: interactive, standard or bulk.
	ClassHeader = "X-Fescuepoint-Class"
	// TeamHeader names the team that the key must belong to.
	TeamHeader = "X-Fescuepoint-Team"
	// IdempotentHeader is "false" on a request that must run at most once.
	IdempotentHeader = "X-Fescuepoint-Idempotent"
	// OutcomeHeader carries the outcome of a request that failed or was answered by a plain
	// service.
	OutcomeHeader = "X-Fescuepoint-Outcome"
	// UpstreamHeader names the upstream that answered.
	UpstreamHeader = "X-Fescuepoint-Upstream"
	// ReasonHeader says why that upstream was chosen.
	ReasonHeader = "X-Fescuepoint-Reason"
	// WeightsHeader carries the weights version that a request was placed for.
	WeightsHeader = "X-Weights"
	// SoftwareHeader carries the software version of the engine process that answers.
	SoftwareHeader = "X-Software-Version"
	// LeavingHeader is "true" on an answer of an upstream that takes no new requests until it starts anew.
	LeavingHeader = "X-Leaving"
	// ImportHeader asks an engine to import the prompt's blocks from the cache store first.
	ImportHeader = "X-Import"
	// EventStream is the content type of a streamed answer.
	EventStream = "text/event-stream"
	// Heartbeat is the event-stream comment that is sent while a stream has no new tokens.
	Heartbeat = ": heartbeat\n\n"
	// MaxEventBytes is the maximum size of one event of a stream.
	MaxEventBytes = 1 << 20

	doneMarker = "[DONE]"
)

// ErrMalformedEvent is returned for an event that is not a chunk.
var ErrMalformedEvent = errors.New("malformed event")

type (
	// Message is one turn of a conversation.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Request is a chat completion request. PrefixLevels lists, for each prefix level that requests
	// share, the number of leading messages that it covers.
	Request struct {
		Model        string    `json:"model"`
		Adapter      string    `json:"adapter,omitempty"`
		Messages     []Message `json:"messages"`
		MaxTokens    int       `json:"max_tokens,omitempty"`
		Stream       bool      `json:"stream,omitempty"`
		PrefixLevels []int     `json:"prefix_levels,omitempty"`
		// CacheSalt seeds the engine's block hashes; only the router sets it.
		CacheSalt string `json:"cache_salt,omitempty"`
		// Priority is the Unix time in milliseconds by which prefill should start; only the router
		// sets it.
		Priority int64 `json:"priority,omitempty"`
		// ContinueFinalMessage asks to continue the last message instead of answering it.
		ContinueFinalMessage bool `json:"continue_final_message,omitempty"`
	}

	// Usage counts the tokens of a prompt and its answer.
	Usage struct {
		PromptTokens        int                 `json:"prompt_tokens"`
		CompletionTokens    int                 `json:"completion_tokens"`
		TotalTokens         int                 `json:"total_tokens"`
		PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
	}

	// PromptTokensDetails counts the prompt tokens found cached.
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}

	// Choice is the only choice of an answer or chunk.
	Choice struct {
		Index        int      `json:"index"`
		Message      *Message `json:"message,omitempty"`
		Delta        *Message `json:"delta,omitempty"`
		FinishReason string   `json:"finish_reason,omitempty"`
	}

	// Answer is a whole answer or one chunk of a stream. Offset is the byte offset of its text in
	// the answer, Total the byte length of the whole answer.
	Answer struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []Choice `json:"choices"`
		Usage   *Usage   `json:"usage,omitempty"`
		Offset  int      `json:"offset"`
		Total   *int     `json:"total,omitempty"`
	}

	// ChunkReader reads the chunks of an event stream.
	ChunkReader struct {
		scanner *bufio.Scanner
	}
)

// PromptText returns the prompt as one text; hosts hash the same text that engines cache.
func (r Request) PromptText() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// PrefixLevelEnds returns the text lengths at which the declared prefix levels end. Without
// declared levels, every message but the last ends one.
func (r Request) PrefixLevelEnds() []int {
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

// Prompt returns the prompt's length and its prefix levels under a seed.
func (r Request) Prompt(s fpprefix.Seed) fpprefix.Prompt {
	return fpprefix.NewPrompt(s, r.PromptText(), r.PrefixLevelEnds())
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

// NewChunk returns a chunk of a stream, with text at a byte offset.
func NewChunk(id, model string, offset int, text string) Answer {
	return Answer{
		ID:      id,
		Object:  "chat.completion.chunk",
		Model:   model,
		Offset:  offset,
		Choices: []Choice{{Delta: &Message{Role: "assistant", Content: text}}},
	}
}

// NewFinalChunk returns the final chunk of a stream, which carries the total length and the usage.
func NewFinalChunk(id, model string, total int, u Usage) Answer {
	a := NewChunk(id, model, total, "")
	a.Choices[0].FinishReason = "stop"
	a.Total = &total
	a.Usage = &u
	return a
}

// NewWholeAnswer returns an answer that is not streamed.
func NewWholeAnswer(id, model, text string, u Usage) Answer {
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

// WriteDone writes the marker that ends a stream.
func WriteDone(w io.Writer) error {
	_, err := io.WriteString(w, "data: "+doneMarker+"\n\n")
	return err
}

// NewChunkReader returns a reader of the chunks in r.
func NewChunkReader(r io.Reader) *ChunkReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	return &ChunkReader{scanner: s}
}

// ReadChunk returns the next chunk; ok is false for a heartbeat. The error is io.EOF after the
// marker that ends a stream, and io.ErrUnexpectedEOF if the stream ends without it.
func (e *ChunkReader) ReadChunk() (a Answer, ok bool, err error) {
	for e.scanner.Scan() {
		line := e.scanner.Bytes()
		if len(line) == 0 {
			continue
		}
		if line[0] == ':' {
			return Answer{}, false, nil
		}
		data, found := bytes.CutPrefix(line, []byte("data: "))
		if !found {
			return Answer{}, false, errors.Wrapf(ErrMalformedEvent, "line of %d bytes", len(line))
		}
		if string(data) == doneMarker {
			return Answer{}, false, io.EOF
		}
		if err := json.Unmarshal(data, &a); err != nil {
			return Answer{}, false, errors.Mark(errors.Wrap(err, "chunk"), ErrMalformedEvent)
		}
		return a, true, nil
	}
	if err := e.scanner.Err(); err != nil {
		return Answer{}, false, errors.Wrap(err, "stream")
	}
	return Answer{}, false, io.ErrUnexpectedEOF
}
