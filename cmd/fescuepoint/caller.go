package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

type (
	callerFlags struct {
		Caller    string `help:"Address of a host's callers' interface." default:"http://127.0.0.1:8080" env:"FESCUEPOINT_CALLER"`
		TeamKey   string `help:"The team's key." env:"FESCUEPOINT_TEAM_KEY"`
		Class     string `help:"interactive, standard or bulk." default:"standard"`
		RequestID string `help:"Request ID; needed for what must run at most once."`
	}

	askCommand struct {
		callerFlags
		Model     string   `arg:"" help:"Model."`
		Messages  []string `arg:"" help:"Messages, the shared prefix levels first; @file reads a file."`
		Adapter   string   `help:"Adapter."`
		MaxTokens int      `help:"Longest answer in tokens." default:"16"`
		Once      bool     `help:"Run at most once; needs a request ID."`
	}

	callCommand struct {
		callerFlags
		Service string `arg:"" help:"Service."`
		Path    string `arg:"" help:"Path of the call."`
		Body    string `arg:"" optional:"" help:"Body of the call."`
	}

	askReport struct {
		Text         string
		Upstream     string
		Reason       string
		PromptTokens int
		CachedTokens int
	}
)

// postRequest sends a POST request to the host with the team's key, class and request ID. An error
// is marked errUnknown if the request may have been run.
func (f callerFlags) postRequest(s *session, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, f.Caller+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+f.TeamKey)
	req.Header.Set(fpchat.ClassHeader, f.Class)
	if f.RequestID != "" {
		req.Header.Set(fpchat.RequestHeader, f.RequestID)
	}
	t := fpconn.NewTransport((&net.Dialer{}).DialContext, nil)
	t.Proxy = http.ProxyFromEnvironment
	res, err := (&http.Client{Transport: t}).Do(req)
	if err != nil {
		return nil, errors.Mark(err, errUnknown)
	}
	if res.StatusCode >= http.StatusBadRequest {
		defer func() { _ = res.Body.Close() }()
		return nil, outcomeError(res)
	}
	return res, nil
}

// outcomeError returns the error of a response with an error status, marked by its outcome header.
func outcomeError(res *http.Response) error {
	body, _ := io.ReadAll(res.Body)
	mark := errors.New("failed")
	switch res.Header.Get(fpchat.OutcomeHeader) {
	case fpoutcome.NotRun.String():
		mark = errRefused
	case fpoutcome.Unknown.String():
		mark = errUnknown
	}
	return errors.Mark(errors.Newf("status %d: %s", res.StatusCode, bytes.TrimSpace(body)), mark)
}

// Run sends the prompt and prints the response while it is streamed.
func (c *askCommand) Run(s *session) error {
	body, err := c.requestBody()
	if err != nil {
		return err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if c.Once {
		header.Set(fpchat.IdempotentHeader, "false")
	}
	res, err := c.postRequest(s, "/v1/chat/completions", body, header)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	r := askReport{Upstream: res.Header.Get(fpchat.UpstreamHeader), Reason: res.Header.Get(fpchat.ReasonHeader)}
	if err := c.printStream(s, res.Body, &r); err != nil {
		return errors.Mark(err, errUnknown)
	}
	return s.printOutput(r, func() {
		fmt.Printf("\n-- %s: %s; %d of %d prompt tokens cached\n", r.Upstream, r.Reason, r.CachedTokens, r.PromptTokens)
	})
}

// requestBody returns the chat request. The last message is the user's, the others are system
// messages.
func (c *askCommand) requestBody() ([]byte, error) {
	req := fpchat.Request{Model: c.Model, Adapter: c.Adapter, MaxTokens: c.MaxTokens, Stream: true}
	for i, m := range c.Messages {
		if name, ok := strings.CutPrefix(m, "@"); ok {
			data, err := os.ReadFile(name)
			if err != nil {
				return nil, err
			}
			m = string(data)
		}
		role := "system"
		if i == len(c.Messages)-1 {
			role = "user"
		}
		req.Messages = append(req.Messages, fpchat.Message{Role: role, Content: m})
	}
	return json.Marshal(req)
}

// printStream prints the streamed text and checks that it is complete and in order.
func (*askCommand) printStream(s *session, body io.Reader, r *askReport) error {
	events := fpchat.NewChunkReader(body)
	total := -1
	for {
		chunk, ok, err := events.ReadChunk()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		if chunk.Object == "" {
			return errors.New("stream ended before the response was complete")
		}
		if chunk.Offset != len(r.Text) {
			return errors.Newf("chunk at byte offset %d, expected %d", chunk.Offset, len(r.Text))
		}
		r.Text += chunk.Text()
		if !s.json {
			fmt.Print(chunk.Text())
		}
		if chunk.Usage != nil {
			r.PromptTokens = chunk.Usage.PromptTokens
			r.CachedTokens = chunk.Usage.PromptTokensDetails.CachedTokens
		}
		if chunk.Total != nil {
			total = *chunk.Total
		}
	}
	if total != len(r.Text) {
		return errors.Newf("received %d bytes, expected %d", len(r.Text), total)
	}
	return nil
}

// Run calls the service and prints its response.
func (c *callCommand) Run(s *session) error {
	path := "/services/" + c.Service + "/" + strings.TrimPrefix(c.Path, "/")
	res, err := c.postRequest(s, path, []byte(c.Body), http.Header{"Content-Type": {"text/plain"}})
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Mark(err, errUnknown)
	}
	fmt.Printf("%s\n-- %s\n", bytes.TrimSpace(data), res.Header.Get(fpchat.UpstreamHeader))
	return nil
}
