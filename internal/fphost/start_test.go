package fphost

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpstandin"
)

// TestClockSetBackAfterStart checks that a host without a configuration asks the platform for it once its
// start delay is over, also when the time of day was set back after its start.
func TestClockSetBackAfterStart(t *testing.T) {
	is := is.New(t)
	h, err := New(newTestSettings(t, "127.0.0.1:1"), log.NewNopLogger())
	is.NoErr(err)
	// The time of day of the start is an hour ahead of the present one.
	h.incarnation += uint64(time.Hour)
	is.True(h.shouldWatchPlatform())
	h.startDelay = time.Hour
	is.True(!h.shouldWatchPlatform())
}

// TestMemoryForLongestBody checks that a host does not start whose memory has no room for the longest body.
func TestMemoryForLongestBody(t *testing.T) {
	is := is.New(t)
	s := newTestSettings(t, "127.0.0.1:1")
	s.Limits.MemoryBytes = 64 << 20
	s.Limits.MaxBodyBytes = 16 << 20
	_, err := New(s, log.NewNopLogger())
	is.True(err != nil)
	s.Limits.MemoryBytes = 256 << 20
	_, err = New(s, log.NewNopLogger())
	is.NoErr(err)
}

// TestStopBesideStalledClient checks that a planned stop ends although a client never ends its request.
func TestStopBesideStalledClient(t *testing.T) {
	is := is.New(t)
	platform := httptest.NewServer(fpstandin.NewPlatform().Handler())
	defer platform.Close()
	s := newTestSettings(t, platform.Listener.Addr().String())
	s.Limits.StallTimeout = 200 * time.Millisecond
	h, err := New(s, log.NewNopLogger())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	var c net.Conn
	waitUntil(t, "a connection", func() bool {
		c, err = net.Dial("tcp", s.Operators.Address)
		return err == nil
	})
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /patch HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+operatorKey+"\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n")
	is.NoErr(err)
	// The handler asks for the body.
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
	cancel()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the host does not stop")
	}
}
