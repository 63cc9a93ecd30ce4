package fpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	// callTimeout bounds every call but a watch.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer: a page of a few values of at most a megabyte, in base 64.
	maxAnswerBytes = 16 << 20
	// pageItems is the most items asked for at once.
	pageItems = 500
)

type (
	// Client is a driver of the store port over HTTP.
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

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (fpstore.Item, error) {
	var res RangeResponse
	if err := c.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &res); err != nil {
		return fpstore.Item{}, err
	}
	if len(res.KeyValues) == 0 {
		return fpstore.Item{}, fpstore.ErrMissing
	}
	return res.KeyValues[0].item(), nil
}

// Range reads a page of the keys under a prefix, those behind after.
func (c *Client) Range(ctx context.Context, prefix, after string) (fpstore.Page, error) {
	first, end := keysUnder(prefix)
	if after != "" {
		first = []byte(after + "\x00")
	}
	var res RangeResponse
	if err := c.call(ctx, "/v3/kv/range", RangeRequest{Key: first, RangeEnd: end, Limit: pageItems}, &res); err != nil {
		return fpstore.Page{}, err
	}
	p := fpstore.Page{More: res.More, Revision: res.Header.Revision}
	for _, kv := range res.KeyValues {
		p.Items = append(p.Items, kv.item())
	}
	return p, nil
}

// Watch waits for changes under a prefix after a revision; it counts as one
// call. One that ends without any returns the revision that it was given, and
// proves nothing of the store's present state.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]fpstore.Item, int64, error) {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	first, end := keysUnder(prefix)
	body, err := c.open(waitCtx, "/v3/watch", WatchRequest{Create: WatchCreate{Key: first, RangeEnd: end, StartRevision: after + 1}})
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = body.Close() }()
	created := false
	dec := json.NewDecoder(body)
	for {
		var line WatchResponse
		if err := dec.Decode(&line); err != nil {
			if created && ctx.Err() == nil && waitCtx.Err() != nil {
				return nil, after, nil
			}
			return nil, 0, errors.Mark(errors.Wrap(err, "watch"), fpstore.ErrUnsettled)
		}
		created = created || line.Result.Created
		switch {
		case line.Result.CompactRevision > 0:
			return nil, 0, fpstore.ErrCompacted
		case line.Result.Canceled:
			return nil, 0, errors.Mark(errors.New("the watch was canceled"), fpstore.ErrRefused)
		case len(line.Result.Events) > 0:
			return eventItems(line.Result.Events), line.Result.Header.Revision, nil
		}
	}
}

// Commit writes a transaction.
func (c *Client) Commit(ctx context.Context, t fpstore.Transaction) (int64, error) {
	var req TransactionRequest
	for _, n := range t.Conditions {
		req.Compare = append(req.Compare, Compare{Key: []byte(n.Key), Target: compareMod, Result: equal, ModRevision: n.Revision})
	}
	for _, p := range t.Puts {
		req.Success = append(req.Success, Operation{Put: &PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: int64(p.Lease)}})
	}
	for _, key := range t.Deletes {
		req.Success = append(req.Success, Operation{Delete: &DeleteRequest{Key: []byte(key)}})
	}
	var res TransactionResponse
	if err := c.call(ctx, "/v3/kv/txn", req, &res); err != nil {
		return 0, err
	}
	if !res.Succeeded {
		return 0, fpstore.ErrConflict
	}
	return res.Header.Revision, nil
}

// Grant returns a new lease of the given time to live, rounded up to seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (fpstore.Lease, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var res LeaseResponse
	err := c.call(ctx, "/v3/lease/grant", LeaseRequest{TTL: seconds}, &res)
	return fpstore.Lease(res.ID), err
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, lease fpstore.Lease) error {
	var res KeepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", LeaseRequest{ID: int64(lease)}, &res); err != nil {
		return err
	}
	if res.Result.TTL <= 0 {
		return fpstore.ErrLeaseGone
	}
	return nil
}

// End gives a lease up, and with it the keys bound to it.
func (c *Client) End(ctx context.Context, lease fpstore.Lease) error {
	var res LeaseResponse
	return c.call(ctx, "/v3/lease/revoke", LeaseRequest{ID: int64(lease)}, &res)
}

// call makes one call and decodes its answer.
func (c *Client) call(ctx context.Context, path string, req, res any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := c.open(ctx, path, req)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(res); err != nil {
		return errors.Mark(errors.Wrapf(err, "answer of %s", path), fpstore.ErrUnsettled)
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
		return nil, errors.Mark(errors.Wrapf(err, "call %s", path), fpstore.ErrUnsettled)
	}
	if res.StatusCode == http.StatusOK {
		return res.Body, nil
	}
	_ = res.Body.Close()
	err = errors.Newf("call %s: status %d", path, res.StatusCode)
	switch res.StatusCode {
	case http.StatusNotFound:
		// Only leases are not found: a missing key is an empty range.
		return nil, fpstore.ErrLeaseGone
	case http.StatusTooManyRequests, http.StatusBadRequest:
		return nil, errors.Mark(err, fpstore.ErrRefused)
	default:
		// The service also says that it is unavailable when a write timed out midway.
		return nil, errors.Mark(err, fpstore.ErrUnsettled)
	}
}

// keysUnder returns the first key under a prefix and the one behind the last.
func keysUnder(prefix string) (first, end []byte) {
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < math.MaxUint8 {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	// A single zero byte stands for the first key, and for no end.
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), []byte{0}
}

func eventItems(events []Event) []fpstore.Item {
	out := make([]fpstore.Item, 0, len(events))
	for _, e := range events {
		i := e.KeyValue.item()
		i.Deleted = e.Type == EventDelete
		out = append(out, i)
	}
	return out
}

func (kv KeyValue) item() fpstore.Item {
	return fpstore.Item{
		Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision,
		Created: kv.CreateRevision, Lease: fpstore.Lease(kv.Lease),
	}
}
