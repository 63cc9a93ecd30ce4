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
	// readsPerSecond and writesPerSecond are the rates that the service takes.
	readsPerSecond  = 2000
	writesPerSecond = 400
	maxValueBytes   = 1 << 20
	maxRequestBytes = 2 << 20
	// maxWatch bounds a watch without events; callers give up before.
	maxWatch = time.Minute
)

type (
	// Platform serves a store in memory over the platform's protocol.
	Platform struct {
		Store  *fpmemory.Store
		faults faultSwitch
		reads  *rate.Limiter
		writes *rate.Limiter
	}
)

// NewPlatform returns a stand-in of the platform's service.
func NewPlatform() *Platform {
	return &Platform{
		Store:  fpmemory.New(),
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
	}
}

// SetFaults changes how the service misbehaves.
func (p *Platform) SetFaults(f Faults) { p.faults.set(f) }

// Handler returns the service's HTTP handler.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v3/kv/range", limited(p, p.reads, p.get))
	m.HandleFunc("POST /v3/kv/txn", limited(p, p.writes, p.commit))
	m.HandleFunc("POST /v3/watch", limited(p, p.reads, p.watch))
	m.HandleFunc("POST /v3/lease/grant", limited(p, p.writes, p.grant))
	m.HandleFunc("POST /v3/lease/keepalive", limited(p, p.writes, p.keepAlive))
	m.HandleFunc("POST /v3/lease/revoke", limited(p, p.writes, p.revoke))
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Store.Counts()) })
	return p.faults.wrap(m)
}

// limited decodes a request of type T and counts it against a rate.
func limited[T any](p *Platform, l *rate.Limiter, serve func(http.ResponseWriter, *http.Request, T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !l.Allow() {
			p.Store.Refused()
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

func (p *Platform) get(w http.ResponseWriter, _ *http.Request, req fpplatform.RangeRequest) {
	if len(req.RangeEnd) == 0 {
		i, revision, err := p.Store.Get(string(req.Key), time.Now())
		res := fpplatform.RangeResponse{Header: fpplatform.Header{Revision: revision}}
		if err == nil {
			res.KeyValues = []fpplatform.KeyValue{keyValue(i)}
		}
		writeJSON(w, res)
		return
	}
	prefix, after := rangeOf(req.Key, req.RangeEnd)
	page := p.Store.Range(prefix, after, time.Now())
	res := fpplatform.RangeResponse{Header: fpplatform.Header{Revision: page.Revision}, More: page.More}
	for _, i := range page.Items {
		res.KeyValues = append(res.KeyValues, keyValue(i))
	}
	writeJSON(w, res)
}

// rangeOf returns the prefix that a range stands for, and the key that it
// begins behind.
func rangeOf(key, end []byte) (prefix, after string) {
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

func keyValue(i fpstore.Item) fpplatform.KeyValue {
	return fpplatform.KeyValue{
		Key: []byte(i.Key), Value: i.Value, CreateRevision: i.Created, ModRevision: i.Revision, Lease: int64(i.Lease),
	}
}

func (p *Platform) commit(w http.ResponseWriter, _ *http.Request, req fpplatform.TransactionRequest) {
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
			t.Puts = append(t.Puts, fpstore.Put{Key: string(o.Put.Key), Value: o.Put.Value, Lease: fpstore.Lease(o.Put.Lease)})
		case o.Delete != nil:
			t.Deletes = append(t.Deletes, string(o.Delete.Key))
		}
	}
	revision, err := p.Store.Commit(t, time.Now())
	if errors.Is(err, fpstore.ErrLeaseGone) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, fpplatform.TransactionResponse{Header: fpplatform.Header{Revision: revision}, Succeeded: err == nil})
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, req fpplatform.WatchRequest) {
	writeJSON(w, fpplatform.WatchResponse{Result: fpplatform.WatchResult{Created: true}})
	_ = http.NewResponseController(w).Flush()
	prefix, _ := rangeOf(req.Create.Key, req.Create.RangeEnd)
	items, revision, err := p.Store.Await(r.Context(), prefix, req.Create.StartRevision-1, maxWatch)
	if p.faults.get().Down {
		panic(http.ErrAbortHandler)
	}
	result := fpplatform.WatchResult{Header: fpplatform.Header{Revision: revision}}
	switch {
	case errors.Is(err, fpstore.ErrCompacted):
		result.Canceled, result.CompactRevision = true, revision
	case err != nil:
		return
	default:
		for _, i := range items {
			e := fpplatform.Event{KeyValue: keyValue(i)}
			if i.Deleted {
				e.Type = fpplatform.EventDelete
			}
			result.Events = append(result.Events, e)
		}
	}
	writeJSON(w, fpplatform.WatchResponse{Result: result})
}

func (p *Platform) grant(w http.ResponseWriter, _ *http.Request, req fpplatform.LeaseRequest) {
	id := p.Store.Grant(time.Duration(req.TTL)*time.Second, time.Now())
	writeJSON(w, fpplatform.LeaseResponse{ID: int64(id), TTL: req.TTL})
}

func (p *Platform) keepAlive(w http.ResponseWriter, _ *http.Request, req fpplatform.LeaseRequest) {
	// A lease that is gone has no time to live.
	ttl, _ := p.Store.KeepAlive(fpstore.Lease(req.ID), time.Now())
	res := fpplatform.LeaseResponse{ID: req.ID, TTL: int64(ttl / time.Second)}
	writeJSON(w, fpplatform.KeepAliveResponse{Result: res})
}

func (p *Platform) revoke(w http.ResponseWriter, _ *http.Request, req fpplatform.LeaseRequest) {
	if err := p.Store.End(fpstore.Lease(req.ID), time.Now()); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, fpplatform.LeaseResponse{ID: req.ID})
}
