package fpdispatch

import (
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
)

// errOtherSoftware means that the process that answers has another software version than the one that
// generated what was delivered.
var errOtherSoftware = errors.New("the upstream has another software version than the answer began with")

type (
	// origin is what generated the part of an answer that was delivered; its zero value stands for an
	// answer that has not begun.
	origin struct {
		begun           bool
		weights         string
		softwareVersion string
	}
)

// deliveredOrigin returns the origin of the text delivered so far.
func (r *chatRun) deliveredOrigin() origin {
	if r.assembler.Delivered() == 0 {
		return origin{}
	}
	return r.origin
}

// checkOrigin reports errOtherSoftware unless the stream may go on with what was delivered; text of another
// software version that waits behind a gap is dropped. An answer that tells no software version counts as
// that of its engine's last report.
func (r *chatRun) checkOrigin(s *fpupstream.Stream) error {
	version, told := s.SoftwareVersion()
	if !told {
		version = r.target.candidate.SoftwareVersion
	}
	begun := r.deliveredOrigin()
	if begun.begun && begun.softwareVersion != version {
		return errors.Wrapf(errOtherSoftware, "%q, not %q", version, begun.softwareVersion)
	}
	if r.origin.softwareVersion != version {
		r.assembler = r.assembler.WithAttempt(r.attemptID)
	}
	r.origin = origin{begun: true, weights: r.target.request.Weights, softwareVersion: version}
	return nil
}
