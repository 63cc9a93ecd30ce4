package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

type (
	// answer is what a client got for one try.
	answer struct {
		id       string
		status   int
		body     string
		header   http.Header
		err      error
		sent     time.Time
		answered time.Time
	}

	// client is a client of one host that keeps its channels.
	client struct {
		host *host
		http *http.Client
	}
)

var attempts atomic.Int64

func newClient(h *host) *client {
	d := net.Dialer{Timeout: time.Second}
	return &client{host: h, http: &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// newID returns the ID of a client attempt, which names the host that it is sent to.
func newID(h *host) string { return fmt.Sprintf("%s.%d", h.name, attempts.Add(1)) }

// send sends one request and reads the whole answer.
func (c *client) send(method, domain, path string, body []byte, deadline time.Duration, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := answer{id: newID(c.host), sent: time.Now()}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.front+path, bytes.NewReader(body))
	if err != nil {
		fail(err)
	}
	q.GetBody = nil
	q.Host = domain
	q.Header.Set("Attempt-Id", a.id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		q.Header.Set(k, v)
	}
	r, err := c.http.Do(q)
	if err != nil {
		a.err, a.answered = err, time.Now()
		return a
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	a.status, a.header, a.body, a.err, a.answered = r.StatusCode, r.Header, string(data), err, time.Now()
	return a
}
