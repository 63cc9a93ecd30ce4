package fpoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

type (
	// Client calls a host's operators' interface.
	Client struct {
		base string
		key  string
		http *http.Client
	}
)

// NewClient returns a client of the host at base, such as http://127.0.0.1:9000.
func NewClient(base, key string) *Client {
	return &Client{base: base, key: key, http: &http.Client{}}
}

// Status returns the host's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

// Config returns the configuration in force and its latest patches.
func (c *Client) Config(ctx context.Context) (ConfigAnswer, error) {
	var a ConfigAnswer
	err := c.call(ctx, http.MethodGet, "/config", nil, &a)
	return a, err
}

// Explain returns what the fleet recorded of a request.
func (c *Client) Explain(ctx context.Context, id string) (Explanation, error) {
	var e Explanation
	err := c.call(ctx, http.MethodGet, "/explain/"+url.PathEscape(id), nil, &e)
	return e, err
}

// Drain begins a planned stop of the host.
func (c *Client) Drain(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodPost, "/drain", nil, &s)
	return s, err
}

// Patch sends a patch. An error means that the answer was lost: the patch may
// have been accepted.
func (c *Client) Patch(ctx context.Context, p fpconfig.Patch, wait bool) (PatchResult, error) {
	path := "/patch"
	if wait {
		path += "?wait=1"
	}
	data, err := json.Marshal(p)
	if err != nil {
		return PatchResult{}, errors.Wrap(err, "encode patch")
	}
	var r PatchResult
	err = c.call(ctx, http.MethodPost, path, data, &r)
	return r, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.GetBody = nil
	req.Header.Set("Authorization", bearer+c.key)
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Mark(err, ErrHost)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusUnauthorized {
		return ErrKey
	}
	return errors.Mark(json.NewDecoder(res.Body).Decode(v), ErrHost)
}
