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
	// conn is one connection to an upstream, used by one exchange at a time.
	conn struct {
		net.Conn
		address string
		reader  *bufio.Reader
		written atomic.Int64
		used    time.Duration
		expires time.Duration
		served  int
	}
)

func newConn(c net.Conn, address string) *conn {
	n := &conn{Conn: c, address: address}
	n.reader = bufio.NewReaderSize(c, readBufferBytes)
	return n
}

// Write counts the bytes that were handed to the network.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// quiet reports whether the connection is open and has nothing to read.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// setUserTimeout bounds how long written bytes may stay without acknowledgement,
// and lets the kernel probe an idle peer.
func setUserTimeout(c net.Conn, d time.Duration) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	// A socket without the option still has the deadlines of its exchanges.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
