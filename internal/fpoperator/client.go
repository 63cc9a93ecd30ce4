package fpoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

type (
	// Client calls the operator API of a host.
	Client struct {
		baseURL    string
		key        string
		httpClient *http.Client
	}
)

// NewClient returns a client of the host at a base URL such as http://127.0.0.1:9000.
func NewClient(baseURL, key string) *Client {
	t := fpconn.NewTransport((&net.Dialer{}).DialContext, nil)
	t.Proxy = http.ProxyFromEnvironment
	return &Client{baseURL: baseURL, key: key, httpClient: &http.Client{Transport: t}}
}

// Status returns the host's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.callJSON(ctx, http.MethodGet, "/status", nil, &s)
	return s, err
}

// Config returns the configuration in force and its latest patches.
func (c *Client) Config(ctx context.Context) (ConfigAnswer, error) {
	var a ConfigAnswer
	err := c.callJSON(ctx, http.MethodGet, "/config", nil, &a)
	return a, err
}

// Explain returns the fleet's decision records of a request.
func (c *Client) Explain(ctx context.Context, id string) (Explanation, error) {
	var e Explanation
	err := c.callJSON(ctx, http.MethodGet, "/explain/"+url.PathEscape(id), nil, &e)
	return e, err
}

// Drain begins a planned stop of the host.
func (c *Client) Drain(ctx context.Context) (Status, error) {
	var s Status
	err := c.callJSON(ctx, http.MethodPost, "/drain", nil, &s)
	return s, err
}

// SubmitPatch sends a patch; with wait, the host answers only when every reachable
// host has the patch in force or a timeout has passed. After [ErrNoUsableAnswer]
// the patch may have been accepted.
func (c *Client) SubmitPatch(ctx context.Context, p fpconfig.Patch, wait bool) (PatchResult, error) {
	path := "/patch"
	if wait {
		path += "?wait=1"
	}
	data, err := json.Marshal(p)
	if err != nil {
		return PatchResult{}, errors.Wrap(err, "encode patch")
	}
	var r PatchResult
	err = c.callJSON(ctx, http.MethodPost, path, data, &r)
	return r, err
}

// callJSON calls the API and decodes the JSON answer into v.
func (c *Client) callJSON(ctx context.Context, method, path string, body []byte, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.GetBody = nil
	req.Header.Set("Authorization", bearerPrefix+c.key)
	res, err := c.httpClient.Do(req)
	if err != nil {
		return errors.Mark(err, ErrNoUsableAnswer)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusUnauthorized {
		return ErrKeyRejected
	}
	return errors.Mark(json.NewDecoder(res.Body).Decode(v), ErrNoUsableAnswer)
}
