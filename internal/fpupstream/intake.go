package fpupstream

import (
	"net/http"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
)

type (
	// Intake is what the header of an upstream's answer says of the requests that it takes from now on.
	Intake struct {
		// Leaving says that the upstream takes no new requests until it starts anew.
		Leaving bool
	}
)

// reportIntake passes on what an answer says of new requests, unless it is another attempt's.
func (a Attempt) reportIntake(res *http.Response) {
	if got := res.Header.Get(fpchat.AttemptHeader); a.OnIntake == nil || got != "" && got != a.ID {
		return
	}
	i := Intake{Leaving: res.Header.Get(fpchat.LeavingHeader) == "true"}
	if i != (Intake{}) {
		a.OnIntake(i)
	}
}
