package fpupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
)

const (
	dialTimeout    = 500 * time.Millisecond
	controlTimeout = time.Second
	// DefaultSilence is how long nothing may come before a connection counts as silent.
	DefaultSilence = 1500 * time.Millisecond
	maxReportBytes = 1 << 20
	// MaxAnswerBytes bounds an unstreamed answer.
	MaxAnswerBytes = 8 << 20
)

type (
	// Client calls upstreams. Idempotent attempts share pooled connections;
	// attempts that must run at most once each get a connection of their own,
	// so that the transport can never send one twice.
	Client struct {
		pooled  *http.Client
		silence time.Duration
		dialer  Dialer
	}

	// Dialer makes connections; net.Dialer's DialContext is one.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)

	// Settings tunes a client; the zero value takes the defaults.
	Settings struct {
		Silence time.Duration
		Dialer  Dialer
	}

	// Attempt is one try of a request at one upstream.
	Attempt struct {
		ID        string
		RequestID string
		Address   string
		Weights   string
		Method    string
		Path      string
		Header    http.Header
		Body      []byte
		// Sent, unless nil, is called when a connection stands and before the first byte leaves.
		Sent func()
		// Once is called when a connection stands and before the first byte
		// leaves; an error stops the attempt. It is nil for idempotent attempts.
		Once func() error
	}
)

// NewClient returns a client.
func NewClient(s Settings) *Client {
	if s.Silence == 0 {
		s.Silence = DefaultSilence
	}
	if s.Dialer == nil {
		s.Dialer = (&net.Dialer{}).DialContext
	}
	c := &Client{silence: s.Silence, dialer: s.Dialer}
	c.pooled = &http.Client{
		Transport: &http.Transport{
			DialContext:         c.dial,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     20 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: noRedirect,
	}
	return c
}

// Close drops idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer(ctx, network, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrNotRun)
	}
	return conn, nil
}

// single returns a client that sends one request over one new connection.
func single(conn net.Conn) *http.Client {
	t := &http.Transport{
		DialContext:        func(context.Context, string, string) (net.Conn, error) { return conn, nil },
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &http.Client{Transport: t, CheckRedirect: noRedirect}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// send dispatches an attempt and returns the response once its header is in.
func (c *Client) send(ctx context.Context, a Attempt) (*http.Response, error) {
	client := c.pooled
	if a.Once != nil {
		conn, err := c.dial(ctx, "tcp", a.Address)
		if err != nil {
			return nil, err
		}
		if err := a.Once(); err != nil {
			_ = conn.Close()
			return nil, errors.Mark(err, ErrNotRun)
		}
		client = single(conn)
	}
	req, err := a.request(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrNotRun)
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, callError(ctx, err)
	}
	return res, nil
}

func (a Attempt) request(ctx context.Context) (*http.Request, error) {
	if a.Sent != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.Sent() }})
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	for k, vs := range a.Header {
		req.Header[k] = vs
	}
	req.Header.Set(fpchat.AttemptHeader, a.ID)
	req.Header.Set(fpchat.RequestHeader, a.RequestID)
	if a.Weights != "" {
		req.Header.Set(fpchat.WeightsHeader, a.Weights)
	}
	if a.Once != nil {
		req.GetBody = nil
	}
	return req, nil
}

// callError turns an error of net/http into one of this package.
func callError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, ErrNotRun):
		return err
	case errors.Is(context.Cause(ctx), ErrSilent):
		return errors.Mark(err, ErrSilent)
	default:
		return errors.Mark(err, ErrCut)
	}
}

// statusError returns the error that a response's status means, or nil.
func statusError(res *http.Response) error {
	switch res.StatusCode {
	case http.StatusServiceUnavailable, http.StatusConflict:
		return errors.Wrapf(ErrNotRun, "status %d", res.StatusCode)
	case http.StatusNotFound:
		return errors.Wrapf(ErrGone, "status %d", res.StatusCode)
	case http.StatusOK:
		return nil
	default:
		return errors.Wrapf(ErrCut, "status %d", res.StatusCode)
	}
}

// Load reads an upstream's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := c.control(ctx, http.MethodGet, address, "/v1/load", nil, &l)
	return l, err
}

// Events reads an engine's cache events after a sequence number.
func (c *Client) Events(ctx context.Context, address string, after int64) (CacheEvents, error) {
	var v CacheEvents
	err := c.control(ctx, http.MethodGet, address, "/v1/events?after="+strconv.FormatInt(after, 10), nil, &v)
	return v, err
}

// Hosts reads the platform's list of hosts.
func (c *Client) Hosts(ctx context.Context, address string) ([]ListedHost, error) {
	var v []ListedHost
	err := c.control(ctx, http.MethodGet, address, "/hosts", nil, &v)
	return v, err
}

// Order gives an order; ErrRefused means that the upstream did not take it.
func (c *Client) Order(ctx context.Context, address string, o Order) (Load, error) {
	data, err := json.Marshal(o)
	if err != nil {
		return Load{}, errors.Wrap(err, "encode order")
	}
	var l Load
	err = c.control(ctx, http.MethodPost, address, "/v1/orders", data, &l)
	if errors.Is(err, ErrNotRun) {
		err = errors.Mark(err, ErrRefused)
	}
	return l, err
}

// Cancel tells an engine that nobody wants an attempt any more.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	return c.control(ctx, http.MethodDelete, address, "/v1/attempts/"+id, nil, nil)
}

func (c *Client) control(ctx context.Context, method, address, path string, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	res, err := c.pooled.Do(req)
	if err != nil {
		return callError(ctx, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNoContent || v == nil {
		return nil
	}
	if err := statusError(res); err != nil {
		return err
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(v)
	return errors.Wrapf(err, "answer of %s", path)
}
