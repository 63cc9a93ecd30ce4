package fpstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/fescuepoint/fescuepoint/internal/fpplatform"
)

const (
	// readsPerSecond and writesPerSecond are the rates that the service takes.
	readsPerSecond  = 2000
	writesPerSecond = 400
	maxValueBytes   = 1 << 20
	maxRequestBytes = 2 << 20
)

type (
	// Platform serves a Store over the platform's protocol.
	Platform struct {
		Store  *Store
		faults faultSwitch
		reads  *rate.Limiter
		writes *rate.Limiter
	}
)

// NewPlatform returns a stand-in of the platform's service.
func NewPlatform() *Platform {
	return &Platform{
		Store:  NewStore(),
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
	m.HandleFunc("POST /v3/kv/txn", limited(p, p.writes, p.swap))
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
			p.Store.refuse()
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
	v := p.Store.Get(string(req.Key), time.Now())
	var res fpplatform.RangeResponse
	if v.Revision != 0 {
		res.KeyValues = []fpplatform.KeyValue{{Key: req.Key, Value: v.Data, ModRevision: v.Revision}}
	}
	writeJSON(w, res)
}

func (p *Platform) swap(w http.ResponseWriter, _ *http.Request, req fpplatform.TransactionRequest) {
	if len(req.Compare) != 1 || len(req.Success) != 1 || req.Success[0].Put == nil {
		http.Error(w, "only a compare-and-swap of one key is served", http.StatusBadRequest)
		return
	}
	put := req.Success[0].Put
	if len(put.Value) > maxValueBytes {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	revision, ok := p.Store.Swap(string(put.Key), req.Compare[0].ModRevision, put.Value, put.Lease, time.Now())
	writeJSON(w, fpplatform.TransactionResponse{Header: fpplatform.Header{Revision: revision}, Succeeded: ok})
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, req fpplatform.WatchRequest) {
	writeJSON(w, fpplatform.WatchResponse{Result: fpplatform.WatchResult{Created: true}})
	_ = http.NewResponseController(w).Flush()
	key := string(req.Create.Key)
	for {
		v, changed := p.Store.Wait(key, req.Create.StartRevision-1, time.Now())
		if changed == nil {
			kv := fpplatform.KeyValue{Key: req.Create.Key, Value: v.Data, ModRevision: v.Revision}
			writeJSON(w, fpplatform.WatchResponse{Result: fpplatform.WatchResult{Events: []fpplatform.Event{{KeyValue: kv}}}})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		if p.faults.get().Down {
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Platform) grant(w http.ResponseWriter, _ *http.Request, req fpplatform.LeaseRequest) {
	id := p.Store.Grant(time.Duration(req.TTL)*time.Second, time.Now())
	writeJSON(w, fpplatform.LeaseResponse{ID: id, TTL: req.TTL})
}

func (p *Platform) keepAlive(w http.ResponseWriter, _ *http.Request, req fpplatform.LeaseRequest) {
	ttl := p.Store.KeepAlive(req.ID, time.Now())
	res := fpplatform.LeaseResponse{ID: req.ID, TTL: int64(ttl / time.Second)}
	writeJSON(w, fpplatform.KeepAliveResponse{Result: res})
}

func (p *Platform) revoke(w http.ResponseWriter, _ *http.Request, req fpplatform.LeaseRequest) {
	p.Store.Revoke(req.ID, time.Now())
	writeJSON(w, fpplatform.LeaseResponse{ID: req.ID})
}
