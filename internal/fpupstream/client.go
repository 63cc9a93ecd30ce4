package fpupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/pkg/fpbudget"
)

const (
	dialTimeout    = 500 * time.Millisecond
	controlTimeout = time.Second
	// DefaultSilenceTimeout is how long a connection may receive nothing before it counts as silent.
	DefaultSilenceTimeout   = 1500 * time.Millisecond
	maxControlResponseBytes = 1 << 20
	// MaxResponseBytes bounds the body of a response that is not streamed.
	MaxResponseBytes = 8 << 20
)

type (
	// Client calls upstreams. Idempotent attempts share pooled connections. An
	// attempt that must run at most once gets a connection of its own, so that
	// the transport cannot send it twice.
	Client struct {
		pooled         *http.Client
		silenceTimeout time.Duration
		dialFunc       Dialer
	}

	// Dialer opens connections, as net.Dialer's DialContext does.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)

	// Settings configures a client; zero fields take the defaults.
	Settings struct {
		SilenceTimeout time.Duration
		Dialer         Dialer
	}

	// Attempt is one dispatch of a request to one upstream.
	Attempt struct {
		ID        string
		RequestID string
		Address   string
		Weights   string
		Method    string
		Path      string
		Header    http.Header
		Body      []byte
		// OnConnected, unless nil, is called when the connection is established and before the
		// first byte is sent.
		OnConnected func()
		// DispatchGate is called when the connection is established and before the first byte is
		// sent; an error stops the attempt. It is nil for idempotent attempts.
		DispatchGate func() error
		// Memory is what a response that is not streamed takes; nil has no limit.
		Memory *fpbudget.Reservation
		// OnIntake, unless nil, is called with what the header of an answer says of new requests.
		OnIntake func(Intake)
	}
)

// NewClient returns a client with the given settings.
func NewClient(s Settings) *Client {
	if s.SilenceTimeout == 0 {
		s.SilenceTimeout = DefaultSilenceTimeout
	}
	if s.Dialer == nil {
		s.Dialer = (&net.Dialer{}).DialContext
	}
	c := &Client{silenceTimeout: s.SilenceTimeout, dialFunc: s.Dialer}
	t := fpconn.NewTransport(c.dial, nil)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout, t.DisableCompression = 64, 20*time.Second, true
	c.pooled = &http.Client{Transport: t, CheckRedirect: noRedirect}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialFunc(ctx, network, address)
	if err != nil {
		return nil, errors.Mark(errors.Mark(errors.Wrap(err, "connect"), ErrNoConnection), ErrNotRun)
	}
	return conn, nil
}

// singleUseClient returns an HTTP client that sends one request over conn.
func singleUseClient(conn net.Conn) *http.Client {
	t := fpconn.NewTransport(func(context.Context, string, string) (net.Conn, error) { return conn, nil }, nil)
	t.DisableKeepAlives, t.DisableCompression = true, true
	return &http.Client{Transport: t, CheckRedirect: noRedirect}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// send dispatches an attempt and returns the response once its header has arrived.
func (c *Client) send(ctx context.Context, a Attempt) (*http.Response, error) {
	client := c.pooled
	if a.DispatchGate != nil {
		conn, err := c.dial(ctx, "tcp", a.Address)
		if err != nil {
			return nil, err
		}
		if err := a.DispatchGate(); err != nil {
			_ = conn.Close()
			return nil, errors.Mark(err, ErrNotRun)
		}
		client = singleUseClient(conn)
	}
	var reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused.Store(i.Reused) }})
	req, err := a.newRequest(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrNotRun)
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, classifyError(ctx, err)
	}
	if err := checkRefusal(res, a.ID, reused.Load()); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	a.reportIntake(res)
	return res, nil
}

// checkRefusal returns ErrMismatched for a refusal that may be another attempt's: without an ID it
// counts only on a new connection, where no earlier one can be written once more.
func checkRefusal(res *http.Response, attemptID string, reused bool) error {
	got := res.Header.Get(fpchat.AttemptHeader)
	if !errors.Is(statusError(res), ErrNotRun) || got == attemptID || got == "" && !reused {
		return nil
	}
	return errors.Wrapf(ErrMismatched, "status %d of %q", res.StatusCode, got)
}

func (a Attempt) newRequest(ctx context.Context) (*http.Request, error) {
	if a.OnConnected != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.OnConnected() }})
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	for k, vs := range a.Header {
		req.Header[k] = vs
	}
	req.Header.Set(fpchat.AttemptHeader, a.ID)
	req.Header.Set(fpchat.RequestHeader, a.RequestID)
	if a.Weights != "" {
		req.Header.Set(fpchat.WeightsHeader, a.Weights)
	}
	if a.DispatchGate != nil {
		req.GetBody = nil
	}
	return req, nil
}

// classifyError marks an error of net/http as one of this package's errors.
func classifyError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, ErrNotRun):
		return err
	case errors.Is(context.Cause(ctx), ErrSilent):
		return errors.Mark(err, ErrSilent)
	default:
		return errors.Mark(err, ErrInterrupted)
	}
}

// statusError maps a response's status to an error of this package, or nil.
func statusError(res *http.Response) error {
	switch res.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict:
		return errors.Wrapf(ErrNotRun, "status %d", res.StatusCode)
	case http.StatusNotFound:
		return errors.Wrapf(ErrAttemptUnknown, "status %d", res.StatusCode)
	case http.StatusOK:
		return nil
	default:
		return errors.Wrapf(ErrInterrupted, "status %d", res.StatusCode)
	}
}

// FetchLoad reads an upstream's load report.
func (c *Client) FetchLoad(ctx context.Context, address string) (LoadReport, error) {
	var l LoadReport
	err := c.doControl(ctx, http.MethodGet, address, "/v1/load", nil, &l)
	return l, err
}

// FetchCacheEvents reads the cache events of an engine that follow a sequence number.
func (c *Client) FetchCacheEvents(ctx context.Context, address string, after int64) (CacheEvents, error) {
	var v CacheEvents
	err := c.doControl(ctx, http.MethodGet, address, "/v1/events?after="+strconv.FormatInt(after, 10), nil, &v)
	return v, err
}

// FetchHosts reads the platform's host list.
func (c *Client) FetchHosts(ctx context.Context, address string) ([]ListedHost, error) {
	var v []ListedHost
	err := c.doControl(ctx, http.MethodGet, address, "/hosts", nil, &v)
	return v, err
}

// SendOrder sends an order to an engine; ErrRefused means that the engine rejected it.
func (c *Client) SendOrder(ctx context.Context, address string, o Order) (LoadReport, error) {
	data, err := json.Marshal(o)
	if err != nil {
		return LoadReport{}, errors.Wrap(err, "encode order")
	}
	var l LoadReport
	err = c.doControl(ctx, http.MethodPost, address, "/v1/orders", data, &l)
	if errors.Is(err, ErrNotRun) {
		err = errors.Mark(err, ErrRefused)
	}
	return l, err
}

// CancelAttempt tells an engine to stop an attempt whose answer is no longer needed.
func (c *Client) CancelAttempt(ctx context.Context, address, attemptID string) error {
	return c.doControl(ctx, http.MethodDelete, address, "/v1/attempts/"+attemptID, nil, nil)
}

func (c *Client) doControl(ctx context.Context, method, address, path string, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	res, err := c.pooled.Do(req)
	if err != nil {
		return classifyError(ctx, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNoContent || v == nil {
		return nil
	}
	if err := statusError(res); err != nil {
		return err
	}
	data, err := fpconn.ReadAll(res.Body, maxControlResponseBytes, nil)
	if err != nil {
		return errors.Wrapf(err, "read the response of %s", path)
	}
	return errors.Wrapf(json.Unmarshal(data, v), "decode the response of %s", path)
}
