package fphost

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpconn/fpconntest"
	"github.com/fescuepoint/fescuepoint/internal/fpsetting"
)

// TestMalformedAnswerOfPeer checks that bytes that are no answer in the protocol are none to calls to other hosts.
func TestMalformedAnswerOfPeer(t *testing.T) {
	for name, text := range fpconntest.Malformed {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			transport, scheme, err := peerTransport(fpsetting.Peers{})
			is.NoErr(err)
			c := http.Client{Transport: transport}
			defer c.CloseIdleConnections()
			res, err := c.Get(scheme + "://" + fpconntest.ServeText(t, fmt.Sprintf(text, "")))
			if err == nil {
				_, err = io.ReadAll(res.Body)
				_ = res.Body.Close()
			}
			is.True(err != nil)
		})
	}
}
