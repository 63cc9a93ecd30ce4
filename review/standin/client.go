package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// bodyPieceBytes is how much of a body is sent at a time.
const bodyPieceBytes = 64 << 10

type (
	// call is one client attempt.
	call struct {
		host     *host
		method   string
		domain   string
		path     string
		header   map[string]string
		body     string
		deadline time.Duration
		// patience bounds the silence between two events, also before the first one.
		patience time.Duration
		onEvent  func(id int, data string)
		// channel, unless nil, is a kept channel to the host.
		channel net.Conn
		// pieceDelay is the pause after each piece of the body.
		pieceDelay time.Duration
	}

	// answer is what a client saw of one attempt.
	answer struct {
		id       string
		status   int
		header   http.Header
		body     string
		complete bool
		err      error
		took     time.Duration
	}
)

var attempts atomic.Int64

func newAttemptID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))
}

// send makes one attempt on a new channel.
func (c call) send() answer {
	began := time.Now()
	a := answer{id: c.header["Attempt-Id"]}
	if a.id == "" {
		a.id = newAttemptID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	current.record.line("sent      %s to %s: %s %s, %d bytes, Last-Event-Id %q", a.id, c.host.name, c.method, c.path, len(c.body), c.header["Last-Event-Id"])
	a.err = c.exchange(ctx, &a)
	a.took = time.Since(began)
	current.record.line("answered  %s %d after %v, whole %v, %v", a.id, a.status, a.took.Round(time.Millisecond), a.complete, a.err)
	return a
}

func (c call) exchange(ctx context.Context, a *answer) error {
	conn := c.channel
	if conn == nil {
		d := net.Dialer{Timeout: time.Second}
		var err error
		if conn, err = d.DialContext(ctx, "tcp", c.host.front); err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
	}
	until, _ := ctx.Deadline()
	_ = conn.SetDeadline(until)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, c.domain, a.id, c.deadline.Milliseconds())
	for k, v := range c.header {
		if k != "Attempt-Id" {
			fmt.Fprintf(&b, "%s: %s\r\n", k, v)
		}
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return err
	}
	for sent := 0; sent < len(c.body); sent += bodyPieceBytes {
		if _, err := io.WriteString(conn, c.body[sent:min(sent+bodyPieceBytes, len(c.body))]); err != nil {
			return err
		}
		time.Sleep(c.pieceDelay)
	}
	reader := bufio.NewReader(&patientReader{conn: conn, patience: c.patience, until: until})
	res, err := http.ReadResponse(reader, &http.Request{Method: c.method})
	if err != nil {
		return err
	}
	a.status, a.header = res.StatusCode, res.Header
	if c.onEvent == nil || res.StatusCode != 200 {
		data, err := io.ReadAll(res.Body)
		a.body, a.complete = string(data), err == nil
		return err
	}
	id, data := 0, ""
	lines := bufio.NewReader(res.Body)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			a.complete = true
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		case line == "":
			c.onEvent(id, data)
		}
	}
}

// patientReader gives up after a silence.
type patientReader struct {
	conn     net.Conn
	patience time.Duration
	until    time.Time
}

func (p *patientReader) Read(b []byte) (int, error) {
	if p.patience > 0 {
		at := time.Now().Add(p.patience)
		if at.After(p.until) {
			at = p.until
		}
		_ = p.conn.SetReadDeadline(at)
	}
	return p.conn.Read(b)
}
