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
	// FinishRuns waits for running requests to end before the weights change.
	FinishRuns OrderMode = iota + 1
	// KeepRuns changes the weights while requests keep running.
	KeepRuns
	// CutRuns ends the streams of running requests.
	CutRuns

	// OrderTaken means that the replica accepted the order.
	OrderTaken OrderResult = iota + 1
	// OrderHolds means that the replica is already in the ordered state.
	OrderHolds
	// OrderBusy means that another order is in progress or that the number of accepted orders
	// differs.
	OrderBusy
	// OrderFenced means that the replica has seen a higher fencing token.
	OrderFenced
	// OrderWrong means that the replica can't carry out the order.
	OrderWrong
	// OrderElsewhere means that another replica answers at the address.
	OrderElsewhere
)

type (
	// OrderMode is what happens to running requests while a replica changes weights.
	OrderMode int

	// OrderResult is a replica's answer to an order.
	OrderResult int

	// NamedWeights is the newest published version of a model's weights.
	NamedWeights struct {
		Model   string
		Version int64
	}

	// News is a decoded item of the store. At most one field is set, and none for items of other
	// systems.
	News struct {
		Catalog *fpcatalog.Catalog
		Replica *fpfleet.Replica
		// Gone is the ID of a replica whose entry was deleted.
		Gone    string
		Weights *NamedWeights
	}

	// Caller is the decoded header of a caller's request.
	Caller struct {
		ID       string
		Deadline time.Duration
		Key      string
		Model    string
		Parts    []fpbalance.Part
		Output   int
		// LastEvent is the ID of the event after which a stream resumes.
		LastEvent string
	}

	// Attempt is the data that an attempt's header adds for the replica.
	Attempt struct {
		Replica string
		Left    time.Duration
		Team    string
		// Salt is the namespace of cached prompt parts, Version that of the weights; both are
		// only for engines.
		Salt    string
		Version int64
		// Source is the address of a replica to copy cached prompt parts from.
		Source string
		// Save is the address of the cache store that the prompt's parts are saved to.
		Save string
		// Rank is the priority, 0 first; a negative one is not sent.
		Rank      int
		LastEvent string
	}

	// Reply is the decoded header of a replica's answer.
	Reply struct {
		ID        string
		Signature string
		Replica   string
		// NotRun says that the replica did not run the request.
		NotRun  bool
		HasLoad bool
		Running int
		Waiting int
		Slots   int
		// Version is that of the weights, 0 when not reported.
		Version int64
		// Encoded says that the body has a content encoding, so that its bytes are not the
		// replica's own.
		Encoded bool
	}

	// Report is a replica's status report.
	Report struct {
		Versions map[string]int64
		Busy     bool
		// Orders is the number of orders accepted since the replica started.
		Orders  int64
		Running int
		Queued  int
	}

	// Order tells a replica to load a version of a model's weights.
	Order struct {
		Replica string
		Model   string
		Version int64
		Mode    OrderMode
		Holder  string
		Fence   int64
		// Orders is the number of orders that the replica must have accepted before this one.
		Orders int64
	}

	// CacheEvent is a change of a replica's cache; Tokens is the number of tokens of the part
	// that remain cached.
	CacheEvent struct {
		Stored bool
		Salt   string
		Part   string
		Tokens int
	}

	// CacheEvents are the changes since an earlier poll; Epoch changes when the replica
	// restarts.
	CacheEvents struct {
		Epoch  int64
		Next   int64
		Gap    bool
		Events []CacheEvent
	}

	// Dialect translates between the gateway's types and the platform's wire formats.
	Dialect interface {
		// News decodes an item of the store.
		News(item fpstore.Item) (News, error)
		// Caller decodes the header of a caller's request.
		Caller(h http.Header) (Caller, error)
		// Header returns the header to send to a replica: the caller's without the fields that
		// the system sets, and the attempt's.
		Header(caller http.Header, a Attempt) http.Header
		// Reply decodes the header of a replica's answer.
		Reply(status int, h http.Header) Reply
		// Answer returns the header to send to a caller, given a replica's.
		Answer(h http.Header) http.Header
		// The call for a replica's status report, and the decoder of its answer.
		ReportCall(address, replica string) fpconn.Call
		Report(status int, body []byte) (Report, error)
		// The call that sends an order, and the decoder of its answer's status.
		OrderCall(address string, o Order) (fpconn.Call, error)
		OrderResult(status int) (OrderResult, error)
		// The call that polls a replica's cache events, and the decoder of its answer.
		EventsCall(address string, since int64, wait time.Duration) fpconn.Call
		Events(status int, body []byte) (CacheEvents, error)
	}
)

// String returns the mode's name for logs.
func (m OrderMode) String() string {
	return [...]string{"none", "finish runs", "keep runs", "cut runs"}[m]
}
