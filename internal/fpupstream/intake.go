package fpupstream

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
)

type (
	// Intake is what the header of an upstream's answer says of the requests that it takes from now on.
	Intake struct {
		// Leaving says that the upstream takes no new requests until it starts anew.
		Leaving bool
		// Pause is how long an upstream that refuses the attempt wants no requests, 0 if it does not say.
		Pause time.Duration
	}
)

// refuses reports whether an upstream refuses an attempt for now, by its status.
func refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// refusalError returns ErrNotRun for a plain service's refusal, which names a retry delay and no attempt.
func refusalError(res *http.Response) error {
	if res.Header.Get(fpchat.AttemptHeader) == "" && refuses(res.StatusCode) && fplimit.ParseDelay(res.Header.Get("Retry-After")) > 0 {
		return errors.Wrapf(ErrNotRun, "status %d", res.StatusCode)
	}
	return nil
}

// reportIntake passes on what an answer says of new requests, unless it is another attempt's.
func (a Attempt) reportIntake(res *http.Response) {
	if got := res.Header.Get(fpchat.AttemptHeader); a.OnIntake == nil || got != "" && got != a.ID {
		return
	}
	i := Intake{Leaving: res.Header.Get(fpchat.LeavingHeader) == "true"}
	if refuses(res.StatusCode) {
		i.Pause = fplimit.ParseDelay(res.Header.Get("Retry-After"))
	}
	if i != (Intake{}) {
		a.OnIntake(i)
	}
}
