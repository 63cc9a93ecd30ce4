package fpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// callTimeout bounds every call but a watch.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer; values are at most a megabyte, in base 64.
	maxAnswerBytes = 2 << 20
)

var (
	// ErrConflict means that the key has another revision; nothing was written.
	ErrConflict = errors.New("the key has another revision")
	// ErrUnavailable means that the service gave no usable answer to a call that changes nothing.
	ErrUnavailable = errors.New("the platform's service is not available")
	// ErrUnsettled means that a write may or may not have taken effect, now or later.
	ErrUnsettled = errors.New("the write's outcome is not known")
	// ErrLeaseGone means that the lease has lapsed.
	ErrLeaseGone = errors.New("the lease has lapsed")
)

type (
	// Value is a key's content; Revision 0 means that the key does not exist.
	Value struct {
		Data     []byte
		Revision int64
	}

	// LeaseID names a lease; 0 is none.
	LeaseID int64

	// Store is what the system uses of the platform's service.
	Store interface {
		Get(ctx context.Context, key string) (Value, error)
		CompareAndSwap(ctx context.Context, key string, expected int64, data []byte, lease LeaseID) (int64, error)
		Watch(ctx context.Context, key string, after int64) (Value, error)
		Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
		KeepAlive(ctx context.Context, lease LeaseID) error
		Revoke(ctx context.Context, lease LeaseID) error
	}

	// Client is a Store over HTTP.
	Client struct {
		base  string
		http  *http.Client
		calls atomic.Int64
	}
)

// NewClient returns a client of the service at address, an IP number and port.
// Connections are used for one call at a time and dropped after a failure, so
// that one gone silent costs one timeout.
func NewClient(address string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	return &Client{base: "http://" + address, http: &http.Client{Transport: t}}
}

// Calls returns the number of calls made so far.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads a key; a missing key is a Value with revision 0.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	var res RangeResponse
	if err := c.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &res); err != nil {
		return Value{}, errors.Mark(err, ErrUnavailable)
	}
	if len(res.KeyValues) == 0 {
		return Value{}, nil
	}
	kv := res.KeyValues[0]
	return Value{Data: kv.Value, Revision: kv.ModRevision}, nil
}

// CompareAndSwap writes data if the key's revision is the expected one and
// returns the new revision; ErrConflict wrote nothing, ErrUnsettled may have.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, data []byte, lease LeaseID) (int64, error) {
	req := TransactionRequest{
		Compare: []Compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: expected}},
		Success: []Operation{{Put: &PutRequest{Key: []byte(key), Value: data, Lease: int64(lease)}}},
	}
	var res TransactionResponse
	if err := c.call(ctx, "/v3/kv/txn", req, &res); err != nil {
		return 0, errors.Mark(err, ErrUnsettled)
	}
	if !res.Succeeded {
		return 0, ErrConflict
	}
	return res.Header.Revision, nil
}

// Watch waits until the key's revision is above after and returns its value;
// it ends with the context, and counts as one call.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Value, error) {
	req := WatchRequest{Create: WatchCreate{Key: []byte(key), StartRevision: after + 1}}
	body, err := c.open(ctx, "/v3/watch", req)
	if err != nil {
		return Value{}, errors.Mark(err, ErrUnavailable)
	}
	defer func() { _ = body.Close() }()
	dec := json.NewDecoder(body)
	for {
		var line WatchResponse
		if err := dec.Decode(&line); err != nil {
			return Value{}, errors.Mark(errors.Wrap(err, "watch"), ErrUnavailable)
		}
		if n := len(line.Result.Events); n > 0 {
			kv := line.Result.Events[n-1].KeyValue
			return Value{Data: kv.Value, Revision: kv.ModRevision}, nil
		}
	}
}

// Grant returns a new lease of the given time to live, rounded up to seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var res LeaseResponse
	if err := c.call(ctx, "/v3/lease/grant", LeaseRequest{TTL: seconds}, &res); err != nil {
		return 0, errors.Mark(err, ErrUnavailable)
	}
	return LeaseID(res.ID), nil
}

// KeepAlive renews a lease; ErrLeaseGone means that it has lapsed.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	var res KeepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", LeaseRequest{ID: int64(lease)}, &res); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	if res.Result.TTL <= 0 {
		return ErrLeaseGone
	}
	return nil
}

// Revoke gives a lease up, and with it the keys bound to it.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	var res LeaseResponse
	err := c.call(ctx, "/v3/lease/revoke", LeaseRequest{ID: int64(lease)}, &res)
	if err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	return nil
}

func (c *Client) call(ctx context.Context, path string, req, res any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := c.open(ctx, path, req)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(res); err != nil {
		return errors.Wrapf(err, "answer of %s", path)
	}
	return nil
}

func (c *Client) open(ctx context.Context, path string, v any) (io.ReadCloser, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.GetBody = nil
	c.calls.Add(1)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", path)
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, errors.Newf("call %s: status %d", path, res.StatusCode)
	}
	return res.Body, nil
}
