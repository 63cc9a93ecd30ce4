package fpstandin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpengine"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
)

const (
	maxLoggedEvents = 4096
)

type (
	// eventLog keeps the latest cache events with sequence numbers. It drops the fraction lossRatio
	// of them, which leaves gaps in the sequence numbers.
	eventLog struct {
		lossRatio    float64
		lag          time.Duration
		lastSequence int64
		entries      []loggedEvent
	}

	loggedEvent struct {
		fpupstream.CacheEvent
		at time.Time
	}
)

func (l *eventLog) appendEvent(v fpengine.Event) {
	l.lastSequence++
	if l.lossRatio > 0 && rand.Float64() < l.lossRatio {
		return
	}
	e := fpupstream.CacheEvent{Sequence: l.lastSequence, Stored: v.Kind == fpengine.BlockStored, Key: uint64(v.BlockKey)}
	l.entries = append(l.entries, loggedEvent{CacheEvent: e, at: v.At})
	if len(l.entries) > maxLoggedEvents {
		l.entries = l.entries[len(l.entries)-maxLoggedEvents:]
	}
}

func (l *eventLog) reset() {
	l.lastSequence = 0
	l.entries = nil
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	res := fpupstream.CacheEvents{Incarnation: e.incarnation}
	for _, v := range e.cacheEvents.entries {
		if v.Sequence > after && time.Since(v.at) >= e.cacheEvents.lag {
			res.Events = append(res.Events, v.CacheEvent)
		}
	}
	writeJSON(w, res)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o fpupstream.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acceptOrder(o) {
		http.Error(w, "the fencing token is stale or the deadline has passed", http.StatusConflict)
		return
	}
	writeJSON(w, e.loadReport())
}

// acceptOrder starts to load the weights of an order, unless fencing is checked and the fencing
// token is stale or the deadline has passed.
func (e *Engine) acceptOrder(o fpupstream.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && (o.Fencing < e.highestFencingToken || time.Now().UnixMilli() > o.Deadline) {
		return false
	}
	e.highestFencingToken = max(e.highestFencingToken, o.Fencing)
	e.acceptedOrders = append(e.acceptedOrders, o)
	if o.Weights != e.weights && !e.loading {
		e.loading = true
		go e.loadWeights(o.Weights)
	}
	return true
}

// loadWeights fetches weights from the weight store, if there is one, and restarts the simulated
// engine with an empty cache. The former weights stay if the fetch fails.
func (e *Engine) loadWeights(weights string) {
	if e.settings.WeightStoreAddress != "" {
		if err := fetchWeights(context.Background(), e.settings.WeightStoreAddress, weights); err != nil {
			e.mu.Lock()
			e.loading = false
			e.mu.Unlock()
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights = weights
	e.loading = false
	e.engine.Reset()
	e.incarnation++
	e.cacheEvents.reset()
}

func fetchWeights(ctx context.Context, store, weights string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+store+"/weights/"+weights, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}
