package fpconn

import (
	"bufio"
	"io"
	"math"
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

var errHeaderTooLong = errors.New("the header of the answer is too long")

type (
	// conn is one connection to an upstream, used by one request-response exchange at a time.
	conn struct {
		*checkedConn
		address            string
		reader             *bufio.Reader
		bytesWritten       atomic.Int64
		lastUsed           time.Duration
		expiresAt          time.Duration
		completedExchanges int
		connectTime        time.Duration
		openedAt           time.Duration
		// peer is what SetPeer recorded.
		peer int64
		// readable is the number of bytes that may still be read from the connection.
		readable int64
		// refusedKeys are hashes of the keys of calls that were refused on the connection.
		refusedKeys []uint64
	}
)

func newConn(c net.Conn, address string) *conn {
	n := &conn{checkedConn: newCheckedConn(c), address: address, readable: math.MaxInt64}
	n.reader = bufio.NewReaderSize(n, readBufferBytes)
	return n
}

// OpenedAt implements Connection.
func (c *conn) OpenedAt() time.Duration { return c.openedAt }

// SetPeer implements Connection.
func (c *conn) SetPeer(peer int64) { c.peer = peer }

// Peer implements Connection.
func (c *conn) Peer() int64 { return c.peer }

// limitReads makes reads fail after n more bytes, besides those already in the reader's buffer.
func (c *conn) limitReads(n int64) { c.readable = n }

func (c *conn) unlimitReads() { c.readable = math.MaxInt64 }

// Read reads into p, and fails when the limit of limitReads is reached.
func (c *conn) Read(p []byte) (int, error) {
	if c.readable <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := c.checkedConn.Read(p[:min(int64(len(p)), c.readable)])
	c.readable -= int64(n)
	return n, err
}

// Write writes p and counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.checkedConn.Write(p)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// isIdle reports whether the connection is open and has no unread data.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 || c.isBroken() {
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

// ClosedByPeer reports whether an error means that the other side ended the connection, not this one
// or the network.
func ClosedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE) && !errors.Is(err, net.ErrClosed)
}
