package fpbudget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Busy is the state of a client that waits for this host.
	Busy State = iota
	// Sending is the state of a client that has begun a request and not ended it.
	Sending
	// Receiving is the state of a client that does not read its answer.
	Receiving
	// Closing is the state of a client that has its last answer and still sends.
	Closing
	// Silent is the state of a client that has sent nothing yet.
	Silent
	// Idle is the state of a client between two requests.
	Idle
)

const (
	// sendGrace is how long a client may take to send a request, or pause within it, and minSendRate the bytes a
	// second at which longer ones may take longer. slowSendRate applies while nobody needs the room.
	sendGrace    = time.Second
	minSendRate  = 256 << 10
	slowSendRate = 16 << 10
	// receiveGrace is how long a client may leave an answer unread.
	receiveGrace = 2 * time.Second
	closingGrace = 100 * time.Millisecond
	silentGrace  = 500 * time.Millisecond
	idleGrace    = 2 * time.Second
)

type (
	// State is what a client's connection waits for.
	State int

	// Client is what is known of a client's connection.
	Client struct {
		State State
		// Since is when the state began, and Progress when bytes passed last.
		Since, Progress time.Duration
		// SentBytes are those of the request so far.
		SentBytes int64
		// HeldBytes are those that are free once the connection is closed.
		HeldBytes int64
	}

	// candidate is a client that may lose its share.
	candidate struct {
		index int
		lag   time.Duration
	}
)

// lag returns for how long a client has exceeded what its state allows, with bodies at the given bytes a second, and
// whether it has.
func (c Client) lag(now time.Duration, rate float64) (time.Duration, bool) {
	var lag time.Duration
	switch c.State {
	case Sending:
		due := c.Since + sendGrace + time.Duration(float64(c.SentBytes)/rate*float64(time.Second))
		lag = max(now-due, now-c.Progress-sendGrace)
	case Receiving:
		lag = now - c.Since - receiveGrace
	case Closing:
		lag = now - c.Since - closingGrace
	case Silent:
		lag = now - c.Since - silentGrace
	case Idle:
		lag = now - c.Since - idleGrace
	default:
		return 0, false
	}
	return lag, lag > 0
}

// rank returns the order in which clients lose their shares: those that have had their answer first, then those that
// stall, and those that keep a connection for later last.
func (s State) rank() int {
	switch s {
	case Closing:
		return 0
	case Sending, Receiving:
		return 1
	case Silent:
		return 2
	default:
		return 3
	}
}

// Stalled returns the indexes of the clients that have kept a request or an answer unfinished for longer than limit beyond
// what their state allows.
func Stalled(clients []Client, limit, now time.Duration) []int {
	var out []int
	for i, c := range clients {
		if lag, ok := c.lag(now, slowSendRate); ok && lag > limit && (c.State == Sending || c.State == Receiving) {
			out = append(out, i)
		}
	}
	return out
}

// Evict returns the indexes of the clients whose connections to close for the given bytes and at least count
// connections: those that keep this host waiting, the ones with the longest lag first.
func Evict(clients []Client, bytes int64, count int, now time.Duration) []int {
	var candidates []candidate
	for i, c := range clients {
		if lag, ok := c.lag(now, minSendRate); ok {
			candidates = append(candidates, candidate{i, lag})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(clients[a.index].State.rank(), clients[b.index].State.rank()), cmp.Compare(b.lag, a.lag), cmp.Compare(a.index, b.index))
	})
	var out []int
	for _, c := range candidates {
		if bytes <= 0 && len(out) >= count {
			break
		}
		out = append(out, c.index)
		bytes -= clients[c.index].HeldBytes
	}
	return out
}
