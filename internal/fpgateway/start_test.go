package fpgateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/pkg/fpfleet"
)

// startDialect decodes a report that holds the replica's start alone.
type startDialect struct{ entryDialect }

func (startDialect) ReportCall(address, _ string) fpconn.Call {
	return fpconn.Call{Address: address, Method: http.MethodGet, Target: "/", Host: "a.example"}
}

func (startDialect) DecodeReply(int, http.Header) Reply { return Reply{} }

func (startDialect) DecodeReport(_ int, body []byte) (Report, error) {
	start, err := strconv.ParseInt(string(body), 10, 64)
	return Report{StartUnixMilli: start}, err
}

// TestStartReadAtPresentAddress lets a replica start anew at another address. Its start must be read there, also by a
// host that read it at the former one.
func TestStartReadAtPresentAddress(t *testing.T) {
	is := is.New(t)
	g := New(Settings{}.WithDefaults(), Dependencies{Dialect: startDialect{}, Clock: fpclock.SinceBoot, Log: fplog.NewQueue(&bytes.Buffer{})})
	for start := int64(1); start <= 2; start++ {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strconv.FormatInt(start, 10))
		}))
		g.snapshot.Store(&snapshot{registered: []fpfleet.Replica{{ID: "a", Address: s.Listener.Addr().String(), StartUnixMilli: start}}})
		got, err := g.startReader("a").Get(context.Background())
		s.Close()
		is.NoErr(err)
		is.Equal(got, start)
	}
}
