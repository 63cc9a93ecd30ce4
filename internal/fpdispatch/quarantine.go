package fpdispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"iter"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
)

const (
	// maxCrashesPerRequest is the number of upstreams that may crash under one request; it is sent to no
	// further one, since it may be the cause.
	maxCrashesPerRequest = 2
	// requestIDPrefix is what the ID of a request begins with, before its fingerprint of
	// fingerprintBytes. The IDs of parts are hexadecimal.
	requestIDPrefix  = "request-"
	fingerprintBytes = 12
	// trialRetryAfter is the retry delay suggested to a caller whose request is held back for a trial.
	trialRetryAfter = 300 * time.Millisecond
)

var (
	// errUpstreamCrashed means that an upstream broke off an answer and no longer knows the attempt.
	errUpstreamCrashed = errors.New("the upstream crashed")
	// errOnTrial means that a request with the same suspected part is on trial.
	errOnTrial = errors.New("held back: a part that is suspected to crash upstreams is tried by another request")
)

// promptParts returns the messages that other prompts may share, all but the last, by their content's
// hash.
func promptParts(r fpchat.Request) []fpquarantine.Part {
	shared := r.Messages[:max(len(r.Messages)-1, 0)]
	parts := make([]fpquarantine.Part, 0, len(shared))
	for depth, m := range shared {
		parts = append(parts, fpquarantine.Part{ID: strconv.FormatUint(xxhash.Sum64String(m.Content), 16), Depth: depth})
	}
	return parts
}

// requestPart stands for a request as a whole, told by what its caller repeats of it.
func requestPart(fields ...string) fpquarantine.Part {
	h := sha256.New()
	for _, f := range fields {
		// A hash never returns an error.
		_, _ = io.WriteString(h, strconv.Itoa(len(f))+":"+f)
	}
	return fpquarantine.Part{ID: requestIDPrefix + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]), Request: true}
}

// chatParts returns the shared messages of a chat request and the request as a whole.
func chatParts(team string, r fpchat.Request) []fpquarantine.Part {
	fields := []string{team, r.Model}
	for _, m := range r.Messages {
		fields = append(fields, m.Role, m.Content)
	}
	return append(promptParts(r), requestPart(fields...))
}

// recordCrash takes the crash of an upstream under a request as evidence against the request, whose
// attempt was sent at a time and maybe on trial, and against the parts of its prompt.
func (d *Dispatcher) recordCrash(replica string, parts []fpquarantine.Part, sentAt time.Time, trial bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	parts = slices.Clone(parts)
	for i := range parts {
		parts[i].SentAt, parts[i].Trial = sentAt.Sub(d.startedAt), trial
	}
	now := time.Since(d.startedAt)
	d.quarantine.RecordCrash(replica, parts, now)
	d.quarantine.RecordRunning(d.runningUpstreams(replica), now)
}

// runningUpstreams returns the names of the replicas and of the services' upstreams that take requests, without one, each
// with its model or service.
func (d *Dispatcher) runningUpstreams(without string) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		s := d.state.Load()
		for _, r := range s.View.Replicas {
			if !r.Down && r.Name != without && !yield(r.Name, r.Model) {
				return
			}
		}
		for service, upstreams := range s.Services {
			for _, u := range upstreams {
				if u.Reachable && u.Name != without && !yield(u.Name, service) {
					return
				}
			}
		}
	}
}

// suspectsAmong returns those of the parts that are suspected to crash upstreams, and the upstreams at which
// others are on trial. It returns errOnTrial if one of the parts is.
func (d *Dispatcher) suspectsAmong(parts []fpquarantine.Part) (suspects, occupied []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	suspicions := d.quarantine.Suspects()
	for _, p := range parts {
		if _, ok := suspicions[p.ID]; ok {
			suspects = append(suspects, p.ID)
		}
	}
	if len(suspects) == 0 {
		return nil, nil, nil
	}
	now := time.Since(d.startedAt)
	if !d.trials.Allowed(suspects, now) {
		return nil, nil, errOnTrial
	}
	return suspects, d.trials.Occupied(now), nil
}

// beginTrial records that a request with suspected parts is sent to an upstream. It returns false if another
// such request was sent in the meantime.
func (d *Dispatcher) beginTrial(suspects []string, upstream string) bool {
	if len(suspects) == 0 {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Since(d.startedAt)
	if !d.trials.Allowed(suspects, now) {
		return false
	}
	d.trials.Begin(suspects, upstream, now)
	return true
}

// endTrial ends a trial whose upstream answered, or did not get or run the request.
func (d *Dispatcher) endTrial(suspects []string, upstream string) {
	if len(suspects) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trials.End(suspects, upstream)
}

// describeQuarantined names a part, a combination of parts or a request in quarantine.
func describeQuarantined(id string) string {
	if fingerprint, ok := strings.CutPrefix(id, requestIDPrefix); ok {
		return "request " + fingerprint
	}
	if fpquarantine.IsCombination(id) {
		return "prompt parts " + id + " together"
	}
	return "prompt part " + id
}

// recordWholeAnswer takes a complete answer to an attempt, which was sent at a time, as evidence for its request
// and the parts of its prompt.
func (d *Dispatcher) recordWholeAnswer(parts []fpquarantine.Part, sentAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantine.RecordAnswer(fpquarantine.IDs(parts), sentAt.Sub(d.startedAt))
}

// quarantinedPart returns the first of the parts that crashes upstreams, "" for none, and how long it
// stays in quarantine.
func (d *Dispatcher) quarantinedPart(parts []fpquarantine.Part) (string, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Since(d.startedAt)
	for _, id := range d.quarantine.Expired(now) {
		d.quarantine.Release(id)
	}
	if convicted := d.quarantine.Convict(now); len(convicted) > 0 {
		d.metrics.AddToCounter("quarantined_prompt_parts", len(convicted))
	}
	return d.quarantine.Find(fpquarantine.IDs(parts), now)
}

// QuarantinedParts returns the parts of prompts that crash upstreams, the latest first and at most the
// given number, to be told to other hosts.
func (d *Dispatcher) QuarantinedParts(most int) []fpquarantine.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := d.quarantine.Entries(time.Since(d.startedAt))
	return entries[:min(len(entries), most)]
}

// AdoptQuarantinedParts takes over the parts of prompts that another host convicted.
func (d *Dispatcher) AdoptQuarantinedParts(entries []fpquarantine.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.quarantine.Adopt(e, time.Since(d.startedAt))
	}
}
