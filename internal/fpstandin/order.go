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
	keptEvents = 4096
)

type (
	// eventLog keeps the latest cache events with sequence numbers, some of them lost.
	eventLog struct {
		loss   float64
		lag    time.Duration
		next   int64
		events []loggedEvent
	}

	loggedEvent struct {
		fpupstream.CacheEvent
		at time.Time
	}
)

func (l *eventLog) add(v fpengine.Event) {
	l.next++
	if l.loss > 0 && rand.Float64() < l.loss {
		return
	}
	e := fpupstream.CacheEvent{Sequence: l.next, Stored: v.Kind == fpengine.Stored, Key: uint64(v.Key)}
	l.events = append(l.events, loggedEvent{CacheEvent: e, at: v.At})
	if len(l.events) > keptEvents {
		l.events = l.events[len(l.events)-keptEvents:]
	}
}

func (l *eventLog) restart() {
	l.next = 0
	l.events = nil
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	res := fpupstream.CacheEvents{Incarnation: e.incarnation}
	for _, v := range e.events.events {
		if v.Sequence > after && time.Since(v.at) >= e.events.lag {
			res.Events = append(res.Events, v.CacheEvent)
		}
	}
	writeJSON(w, res)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o fpupstream.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acceptOrder(o) {
		http.Error(w, "the fencing number is old or the deadline has passed", http.StatusConflict)
		return
	}
	writeJSON(w, e.report())
}

func (e *Engine) acceptOrder(o fpupstream.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && (o.Fencing < e.fencing || time.Now().UnixMilli() > o.Deadline) {
		return false
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.orders = append(e.orders, o)
	if o.Weights != e.weights && !e.loading {
		e.loading = true
		go e.load(o.Weights)
	}
	return true
}

// load fetches weights from the weight store and starts over with an empty cache.
func (e *Engine) load(weights string) {
	if e.settings.WeightStore != "" {
		if err := fetchWeights(context.Background(), e.settings.WeightStore, weights); err != nil {
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
	e.model.Reset()
	e.incarnation++
	e.events.restart()
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
