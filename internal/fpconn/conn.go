package fpconn

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

type (
	// conn is one connection to an upstream, used by one request-response exchange at a time.
	conn struct {
		net.Conn
		address            string
		reader             *bufio.Reader
		bytesWritten       atomic.Int64
		lastUsed           time.Duration
		expiresAt          time.Duration
		completedExchanges int
	}
)

func newConn(c net.Conn, address string) *conn {
	n := &conn{Conn: c, address: address}
	n.reader = bufio.NewReaderSize(c, readBufferBytes)
	return n
}

// Write writes p and counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// isIdle reports whether the connection is open and has no unread data.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent data, or the
// kernel's keep-alive probes to an idle peer, may stay unacknowledged.
func setUserTimeout(c net.Conn, d time.Duration) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	// The error is ignored: without the option, the deadlines of the exchanges still apply.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
