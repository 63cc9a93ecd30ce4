package fpstandin

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/internal/fpplatform"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	// readsPerSecond and writesPerSecond are the request rates above which the service answers 429.
	readsPerSecond  = 2000
	writesPerSecond = 400
	maxValueBytes   = 1 << 20
	maxRequestBytes = 2 << 20
	// watchTimeout ends a watch without events; callers give up earlier.
	watchTimeout = time.Minute
)

type (
	// Platform serves an in-memory store over the protocol of the platform's key-value service.
	Platform struct {
		Store  *fpmemory.Store
		faults faultInjector
		reads  *rate.Limiter
		writes *rate.Limiter
	}
)

// NewPlatform returns a stand-in for the platform's key-value service, with an empty store.
func NewPlatform() *Platform {
	return &Platform{
		Store:  fpmemory.New(),
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
	}
}

// SetFaults sets the faults that the service injects.
func (p *Platform) SetFaults(f Faults) { p.faults.setFaults(f) }

// Handler returns the service's HTTP handler.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v3/kv/range", rateLimited(p, p.reads, p.serveRange))
	m.HandleFunc("POST /v3/kv/txn", rateLimited(p, p.writes, p.serveTransaction))
	m.HandleFunc("POST /v3/watch", rateLimited(p, p.reads, p.serveWatch))
	m.HandleFunc("POST /v3/lease/grant", rateLimited(p, p.writes, p.serveLeaseGrant))
	m.HandleFunc("POST /v3/lease/keepalive", rateLimited(p, p.writes, p.serveLeaseKeepAlive))
	m.HandleFunc("POST /v3/lease/revoke", rateLimited(p, p.writes, p.serveLeaseRevoke))
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Store.Counts()) })
	return p.faults.wrapHandler(m)
}

// rateLimited returns a handler that decodes a request of type T, or answers 429 above the rate.
func rateLimited[T any](p *Platform, l *rate.Limiter, serve func(http.ResponseWriter, *http.Request, T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !l.Allow() {
			p.Store.CountRefused()
			http.Error(w, "too many requests", http.StatusTooManyRequests)
			return
		}
		var req T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		serve(w, r, req)
	}
}

func (p *Platform) serveRange(w http.ResponseWriter, _ *http.Request, req fpplatform.RangeRequest) {
	if len(req.RangeEnd) == 0 {
		i, revision, err := p.Store.Get(string(req.Key), time.Now())
		res := fpplatform.RangeResponse{Header: fpplatform.Header{Revision: revision}}
		if err == nil {
			res.KeyValues = []fpplatform.KeyValue{toKeyValue(i)}
		}
		writeJSON(w, res)
		return
	}
	prefix, after := prefixAndStart(req.Key, req.RangeEnd)
	page := p.Store.Range(prefix, after, time.Now())
	res := fpplatform.RangeResponse{Header: fpplatform.Header{Revision: page.Position.Revision}, More: page.More}
	for _, i := range page.Items {
		res.KeyValues = append(res.KeyValues, toKeyValue(i))
	}
	writeJSON(w, res)
}

// prefixAndStart returns the prefix whose keys a range [key, end) covers and the key after which
// the range starts, which is empty if it covers the whole prefix.
func prefixAndStart(key, end []byte) (prefix, after string) {
	after = strings.TrimSuffix(string(key), "\x00")
	if len(end) == 1 && end[0] == 0 {
		return "", after
	}
	last := len(end) - 1
	prefix = string(end[:last]) + string(end[last]-1)
	if after == prefix {
		after = ""
	}
	return prefix, after
}

func toKeyValue(i fpstore.Item) fpplatform.KeyValue {
	return fpplatform.KeyValue{
		Key: []byte(i.Key), Value: i.Value, CreateRevision: i.Created, ModRevision: i.Revision, Lease: i.Lease.Number,
	}
}

func (p *Platform) serveTransaction(w http.ResponseWriter, _ *http.Request, req fpplatform.TransactionRequest) {
	var t fpstore.Transaction
	for _, c := range req.Compare {
		t.Conditions = append(t.Conditions, fpstore.Condition{Key: string(c.Key), Revision: c.ModRevision})
	}
	for _, o := range req.Success {
		switch {
		case o.Put != nil && len(o.Put.Value) > maxValueBytes:
			http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
			return
		case o.Put != nil:
			t.Puts = append(t.Puts, fpstore.Put{Key: string(o.Put.Key), Value: o.Put.Value, Lease: fpstore.LeaseID{Number: o.Put.Lease}})
		case o.Delete != nil:
			t.Deletes = append(t.Deletes, string(o.Delete.Key))
		}
	}
	position, err := p.Store.Commit(t, time.Now())
	if errors.Is(err, fpstore.ErrLeaseNotFound) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, fpplatform.TransactionResponse{Header: fpplatform.Header{Revision: position.Revision}, Succeeded: err == nil})
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, req fpplatform.WatchRequest) {
	writeJSON(w, fpplatform.WatchResponse{Result: fpplatform.WatchResult{Created: true}})
	_ = http.NewResponseController(w).Flush()
	prefix, _ := prefixAndStart(req.Create.Key, req.Create.RangeEnd)
	items, position, err := p.Store.WaitForChanges(r.Context(), prefix, req.Create.StartRevision-1, watchTimeout)
	if p.faults.currentFaults().Down {
		panic(http.ErrAbortHandler)
	}
	result := fpplatform.WatchResult{Header: fpplatform.Header{Revision: position.Revision}}
	switch {
	case errors.Is(err, fpstore.ErrCompacted):
		result.Canceled, result.CompactRevision = true, position.Revision
	case err != nil:
		return
	default:
		for _, i := range items {
			e := fpplatform.Event{KeyValue: toKeyValue(i)}
			if i.Deleted {
				e.Type = fpplatform.EventDelete
			}
			result.Events = append(result.Events, e)
		}
	}
	writeJSON(w, fpplatform.WatchResponse{Result: result})
}

func (p *Platform) serveLeaseGrant(w http.ResponseWriter, _ *http.Request, req fpplatform.LeaseRequest) {
	id := p.Store.GrantLease(time.Duration(req.TTL)*time.Second, time.Now())
	writeJSON(w, fpplatform.LeaseResponse{ID: id.Number, TTL: req.TTL})
}

func (p *Platform) serveLeaseKeepAlive(w http.ResponseWriter, _ *http.Request, req fpplatform.LeaseRequest) {
	// A lease that has expired or was revoked gets a TTL of zero.
	ttl, _ := p.Store.RenewLease(fpstore.LeaseID{Number: req.ID}, time.Now())
	res := fpplatform.LeaseResponse{ID: req.ID, TTL: int64(ttl / time.Second)}
	writeJSON(w, fpplatform.KeepAliveResponse{Result: res})
}

func (p *Platform) serveLeaseRevoke(w http.ResponseWriter, _ *http.Request, req fpplatform.LeaseRequest) {
	if err := p.Store.RevokeLease(fpstore.LeaseID{Number: req.ID}, time.Now()); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, fpplatform.LeaseResponse{ID: req.ID})
}
