package fpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	// callTimeout bounds every call except watches.
	callTimeout = 2 * time.Second
	// maxResponseBytes bounds a response: a page of a few values of at most 1 MB each, in base64.
	maxResponseBytes = 16 << 20
	// maxPageItems is the limit of items in a range request.
	maxPageItems = 500
)

type (
	// Client implements fpstore.Store over HTTP.
	Client struct {
		baseURL    string
		httpClient *http.Client
		calls      atomic.Int64
	}
)

// NewClient returns a client of the service at address, an IP address and port.
// A connection carries one call at a time and is closed after a failure, so that
// an unresponsive connection costs only one timeout.
func NewClient(address string) *Client {
	t := fpconn.NewTransport((&net.Dialer{}).DialContext, nil)
	t.MaxIdleConnsPerHost, t.IdleConnTimeout, t.DisableCompression = 16, 30*time.Second, true
	return &Client{baseURL: "http://" + address, httpClient: &http.Client{Transport: t}}
}

// Calls returns the number of calls made so far.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (fpstore.Item, error) {
	var res RangeResponse
	if err := c.postAndDecode(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &res); err != nil {
		return fpstore.Item{}, err
	}
	if len(res.KeyValues) == 0 {
		return fpstore.Item{}, fpstore.ErrKeyNotFound
	}
	return res.KeyValues[0].toItem(), nil
}

// Range reads one page of the keys under a prefix that sort after the given key.
func (c *Client) Range(ctx context.Context, prefix, after string) (fpstore.Page, error) {
	first, end := prefixRange(prefix)
	if after != "" {
		first = []byte(after + "\x00")
	}
	var res RangeResponse
	if err := c.postAndDecode(ctx, "/v3/kv/range", RangeRequest{Key: first, RangeEnd: end, Limit: maxPageItems}, &res); err != nil {
		return fpstore.Page{}, err
	}
	p := fpstore.Page{More: res.More, Position: fpstore.Position{Revision: res.Header.Revision}}
	for _, kv := range res.KeyValues {
		p.Items = append(p.Items, kv.toItem())
	}
	return p, nil
}

// Watch waits for changes under a prefix after a revision; it counts as one
// call. Without changes it returns the given revision, and is then no evidence of
// the store's current state.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]fpstore.Item, fpstore.Position, error) {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	first, end := prefixRange(prefix)
	body, err := c.post(waitCtx, "/v3/watch", WatchRequest{Create: WatchCreate{Key: first, RangeEnd: end, StartRevision: after + 1}})
	if err != nil {
		return nil, fpstore.Position{}, err
	}
	defer func() { _ = body.Close() }()
	created := false
	dec := json.NewDecoder(io.LimitReader(body, maxResponseBytes))
	for {
		var msg WatchResponse
		if err := dec.Decode(&msg); err != nil {
			if created && ctx.Err() == nil && waitCtx.Err() != nil {
				return nil, fpstore.Position{Revision: after}, nil
			}
			return nil, fpstore.Position{}, errors.Mark(errors.Wrap(err, "watch"), fpstore.ErrOutcomeUnknown)
		}
		created = created || msg.Result.Created
		switch {
		case msg.Result.CompactRevision > 0:
			return nil, fpstore.Position{}, fpstore.ErrCompacted
		case msg.Result.Canceled:
			return nil, fpstore.Position{}, errors.Mark(errors.New("the watch was canceled"), fpstore.ErrRefused)
		case len(msg.Result.Events) > 0:
			return itemsFromEvents(msg.Result.Events), fpstore.Position{Revision: msg.Result.Header.Revision}, nil
		}
	}
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, t fpstore.Transaction) (fpstore.Position, error) {
	var req TransactionRequest
	for _, cond := range t.Conditions {
		req.Compare = append(req.Compare, Compare{Key: []byte(cond.Key), Target: compareModRevision, Result: compareEqual, ModRevision: cond.Revision})
	}
	for _, p := range t.Puts {
		req.Success = append(req.Success, Operation{Put: &PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: p.Lease.Number}})
	}
	for _, key := range t.Deletes {
		req.Success = append(req.Success, Operation{Delete: &DeleteRequest{Key: []byte(key)}})
	}
	var res TransactionResponse
	if err := c.postAndDecode(ctx, "/v3/kv/txn", req, &res); err != nil {
		return fpstore.Position{}, err
	}
	if !res.Succeeded {
		return fpstore.Position{}, fpstore.ErrConflict
	}
	return fpstore.Position{Revision: res.Header.Revision}, nil
}

// GrantLease creates a lease with the given time to live, rounded up to whole seconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (fpstore.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var res LeaseResponse
	err := c.postAndDecode(ctx, "/v3/lease/grant", LeaseRequest{TTL: seconds}, &res)
	return fpstore.LeaseID{Number: res.ID}, err
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, lease fpstore.LeaseID) error {
	var res KeepAliveResponse
	if err := c.postAndDecode(ctx, "/v3/lease/keepalive", LeaseRequest{ID: lease.Number}, &res); err != nil {
		return err
	}
	if res.Result.TTL <= 0 {
		return fpstore.ErrLeaseNotFound
	}
	return nil
}

// RevokeLease revokes a lease and deletes the keys attached to it.
func (c *Client) RevokeLease(ctx context.Context, lease fpstore.LeaseID) error {
	var res LeaseResponse
	return c.postAndDecode(ctx, "/v3/lease/revoke", LeaseRequest{ID: lease.Number}, &res)
}

// postAndDecode makes one call and decodes its response.
func (c *Client) postAndDecode(ctx context.Context, path string, req, res any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := c.post(ctx, path, req)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	data, err := fpconn.ReadAll(body, maxResponseBytes, nil)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read response of %s", path), fpstore.ErrOutcomeUnknown)
	}
	if err := json.Unmarshal(data, res); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode response of %s", path), fpstore.ErrOutcomeUnknown)
	}
	return nil
}

// post makes one call and returns the response body, or an error for any status but 200.
func (c *Client) post(ctx context.Context, path string, body any) (io.ReadCloser, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.GetBody = nil
	c.calls.Add(1)
	res, err := c.httpClient.Do(req)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "call %s", path), fpstore.ErrOutcomeUnknown)
	}
	if res.StatusCode == http.StatusOK {
		return res.Body, nil
	}
	_ = res.Body.Close()
	err = errors.Newf("call %s: status %d", path, res.StatusCode)
	switch res.StatusCode {
	case http.StatusNotFound:
		// Only lease calls return this status: a missing key yields an empty range.
		return nil, fpstore.ErrLeaseNotFound
	case http.StatusTooManyRequests, http.StatusBadRequest:
		return nil, errors.Mark(err, fpstore.ErrRefused)
	default:
		// The service also answers that it is unavailable if a write timed out on its side;
		// the write may have taken effect.
		return nil, errors.Mark(err, fpstore.ErrOutcomeUnknown)
	}
}

// prefixRange returns the first key under a prefix and the end of the range, which is exclusive.
func prefixRange(prefix string) (first, end []byte) {
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < math.MaxUint8 {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	// A single zero byte as the key means the first key, as the end no end.
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), []byte{0}
}

func itemsFromEvents(events []Event) []fpstore.Item {
	out := make([]fpstore.Item, 0, len(events))
	for _, e := range events {
		i := e.KeyValue.toItem()
		i.Deleted = e.Type == EventDelete
		out = append(out, i)
	}
	return out
}

func (kv KeyValue) toItem() fpstore.Item {
	return fpstore.Item{
		Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision,
		Created: kv.CreateRevision, Lease: fpstore.LeaseID{Number: kv.Lease},
	}
}
