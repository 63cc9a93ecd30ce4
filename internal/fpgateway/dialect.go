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
	// AbortRuns ends the streams of running requests.
	AbortRuns

	// OrderAccepted means that the replica accepted the order.
	OrderAccepted OrderResult = iota + 1
	// OrderAlreadyApplied means that the replica is already in the ordered state.
	OrderAlreadyApplied
	// OrderBusy means that another order is in progress or that the number of accepted orders
	// differs.
	OrderBusy
	// OrderFenced means that the replica has seen a higher fencing token.
	OrderFenced
	// OrderInvalid means that the replica can't carry out the order.
	OrderInvalid
	// OrderWrongReplica means that another replica answers at the address.
	OrderWrongReplica
)

type (
	// OrderMode is what happens to running requests while a replica changes weights.
	OrderMode int

	// OrderResult is a replica's answer to an order.
	OrderResult int

	// PublishedWeights is the newest published version of a model's weights.
	PublishedWeights struct {
		Model   string
		Version int64
	}

	// DecodedItem is a decoded item of the store. At most one field is set, and none for items of
	// other systems.
	DecodedItem struct {
		Catalog *fpcatalog.Catalog
		Replica *fpfleet.Replica
		// RemovedReplica is the ID of a replica whose entry was deleted.
		RemovedReplica string
		Weights        *PublishedWeights
	}

	// CallerHeader is the decoded header of a caller's request.
	CallerHeader struct {
		ID           string
		Deadline     time.Duration
		Key          string
		Model        string
		PromptParts  []fpbalance.Part
		OutputTokens int
		// LastEventID is the ID of the event after which a stream resumes.
		LastEventID string
		// Resumes is the ID of the request that brought the first event of the stream, "" if none is named.
		Resumes string
	}

	// Attempt is the data that an attempt's header adds for the replica.
	Attempt struct {
		Replica  string
		TimeLeft time.Duration
		Team     string
		// Salt is the namespace of cached prompt parts, Version that of the weights; both are
		// only for engines.
		Salt    string
		Version int64
		// Source is the address of a replica to copy cached prompt parts from.
		Source string
		// SaveTo is the address of the cache store that the prompt's parts are saved to.
		SaveTo string
		// Rank is the priority, 0 first; a negative one is not sent.
		Rank        int
		LastEventID string
	}

	// Reply is the decoded header of a replica's answer.
	Reply struct {
		ID        string
		Signature string
		Replica   string
		// NotRun says that the replica did not run the request.
		NotRun bool
		// Unavailable says that the status is that of a service without room.
		Unavailable bool
		HasLoad     bool
		Running     int
		Waiting     int
		Slots       int
		// HasLimit says that the replica names a limit, and Limit is the number of requests a second
		// that it takes from all hosts together.
		HasLimit bool
		Limit    float64
		// Leaving says that the replica takes no new requests until it starts anew.
		Leaving bool
		// Pause is how long a replica that refused the request wants none from this host, 0 if it does not
		// say.
		Pause time.Duration
		// Brittle says that the replica falls over when it has to reject more than MaxRejections requests in a
		// second for want of room.
		Brittle       bool
		MaxRejections float64
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
		// OrdersAccepted is the number of orders accepted since the replica started.
		OrdersAccepted int64
		Running        int
		Queued         int
		// StartUnixMilli is the start time of the replica in Unix milliseconds, 0 if unknown.
		StartUnixMilli int64
	}

	// Order tells a replica to load a version of a model's weights.
	Order struct {
		Replica      string
		Model        string
		Version      int64
		Mode         OrderMode
		Holder       string
		FencingToken int64
		// OrdersAccepted is the number of orders that the replica must have accepted before this one.
		OrdersAccepted int64
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
		// DecodeItem decodes an item of the store.
		DecodeItem(item fpstore.Item) (DecodedItem, error)
		// DecodeCaller decodes the header of a caller's request.
		DecodeCaller(h http.Header) (CallerHeader, error)
		// AttemptHeader returns the header to send to a replica: the caller's without the
		// fields that the system sets, and the attempt's.
		AttemptHeader(caller http.Header, a Attempt) http.Header
		// ForwardHeader returns the header to send to another host: the caller's, with the time that is left.
		ForwardHeader(caller http.Header, timeLeft time.Duration) http.Header
		// DecodeReply decodes the header of a replica's answer.
		DecodeReply(status int, h http.Header) Reply
		// AnswerHeader returns the header to send to a caller, given a replica's.
		AnswerHeader(h http.Header) http.Header
		// The call for a replica's status report, and the decoder of its answer.
		ReportCall(address, replica string) fpconn.Call
		DecodeReport(status int, body []byte) (Report, error)
		// The call that sends an order, and the decoder of its answer's status.
		OrderCall(address string, o Order) (fpconn.Call, error)
		DecodeOrderResult(status int) (OrderResult, error)
		// The call that polls a replica's cache events, and the decoder of its answer.
		EventsCall(address string, since int64, wait time.Duration) fpconn.Call
		DecodeEvents(status int, body []byte) (CacheEvents, error)
	}
)

// String returns the mode's name for logs.
func (m OrderMode) String() string {
	return [...]string{"none", "finish runs", "keep runs", "cut runs"}[m]
}
