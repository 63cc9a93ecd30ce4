package fpgateway

import (
	"net/http"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
)

const (
	// FinishRuns lets runs end before the weights change.
	FinishRuns OrderMode = iota + 1
	// KeepRuns changes the weights under the runs.
	KeepRuns
	// CutRuns ends the runs' streams.
	CutRuns

	// OrderTaken means that the replica carries the order out.
	OrderTaken OrderResult = iota + 1
	// OrderHolds means that the replica is as ordered already.
	OrderHolds
	// OrderBusy means that another order is in progress or the count of orders differs.
	OrderBusy
	// OrderFenced means that the replica has seen a higher fencing token.
	OrderFenced
	// OrderWrong means that the replica can't carry out such an order.
	OrderWrong
	// OrderElsewhere means that another replica has the address.
	OrderElsewhere
)

type (
	// OrderMode says what happens to the runs of a replica that changes weights.
	OrderMode int

	// OrderResult is a replica's answer to an order.
	OrderResult int

	// NamedWeights is the newest version of a model's weights.
	NamedWeights struct {
		Model   string
		Version int64
	}

	// News is what an item of the store says; at most one field is set, and none
	// for items that say nothing to this product.
	News struct {
		Catalog *fpcatalog.Catalog
		Replica *fpfleet.Replica
		// Gone is the ID of a replica whose entry was deleted.
		Gone    string
		Weights *NamedWeights
	}

	// Caller is what a caller's header says.
	Caller struct {
		ID       string
		Deadline time.Duration
		Key      string
		Model    string
		Parts    []fpbalance.Part
		Output   int
		// LastEvent is the event after which a stream is to go on.
		LastEvent string
	}

	// Attempt is what a replica is told of a request.
	Attempt struct {
		Replica string
		Left    time.Duration
		Team    string
		// Salt is the namespace of cached parts, Version that of the weights; both only for engines.
		Salt    string
		Version int64
		// Source is the address of a replica to copy cached parts from.
		Source string
		// Save is the address of the store that is to get the prompt's parts.
		Save string
		// Rank is the priority, 0 first; negative leaves it out.
		Rank      int
		LastEvent string
	}

	// Reply is what a replica's header says.
	Reply struct {
		ID        string
		Signature string
		Replica   string
		// NotRun is the replica's word that it did not run the request.
		NotRun  bool
		HasLoad bool
		Running int
		Waiting int
		Slots   int
		// Version is that of the weights, 0 when not told.
		Version int64
		// Encoded bodies are not the replica's own bytes.
		Encoded bool
	}

	// Report is a replica's account of itself.
	Report struct {
		Versions map[string]int64
		Busy     bool
		// Orders is the number of orders accepted since the replica's start.
		Orders  int64
		Running int
		Queued  int
	}

	// Order tells a replica to take a version of a model's weights.
	Order struct {
		Replica string
		Model   string
		Version int64
		Mode    OrderMode
		Holder  string
		Fence   int64
		// Orders is the number of orders that the replica must have accepted before.
		Orders int64
	}

	// CacheEvent is a change of what a replica keeps; Tokens is what is left of the part.
	CacheEvent struct {
		Stored bool
		Salt   string
		Part   string
		Tokens int
	}

	// CacheEvents are changes since an earlier call; Epoch changes when the replica restarts.
	CacheEvents struct {
		Epoch  int64
		Next   int64
		Gap    bool
		Events []CacheEvent
	}

	// Dialect translates between the product and what is spoken on the wire.
	Dialect interface {
		// News decodes an item of the store.
		News(item fpstore.Item) (News, error)
		// Caller decodes a caller's header.
		Caller(h http.Header) (Caller, error)
		// Header returns the header for a replica: the caller's own, less what the
		// system sets, and the attempt's.
		Header(caller http.Header, a Attempt) http.Header
		// Reply decodes a replica's header.
		Reply(status int, h http.Header) Reply
		// Answer returns the header that a caller gets of a replica's.
		Answer(h http.Header) http.Header
		// ReportCall and Report ask a replica for its account of itself.
		ReportCall(address, replica string) fpconn.Call
		Report(status int, body []byte) (Report, error)
		// OrderCall and OrderResult give an order.
		OrderCall(address string, o Order) (fpconn.Call, error)
		OrderResult(status int) (OrderResult, error)
		// EventsCall and Events read changes of a replica's cache.
		EventsCall(address string, since int64, wait time.Duration) fpconn.Call
		Events(status int, body []byte) (CacheEvents, error)
	}
)

// String returns the mode's name for logs.
func (m OrderMode) String() string {
	return [...]string{"none", "finish runs", "keep runs", "cut runs"}[m]
}
