package fpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
)

// server plays a script on each connection, one step for each request.
func server(t *testing.T, steps ...func(net.Conn, *bufio.Reader) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan func(net.Conn, *bufio.Reader) bool, len(steps))
	for _, s := range steps {
		next <- s
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					if _, err := r.Peek(1); err != nil {
						return
					}
					select {
					case s := <-next:
						if !s(c, r) {
							return
						}
					default:
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func reads(r *bufio.Reader) {
	q, err := http.ReadRequest(r)
	if err == nil {
		_, _ = io.Copy(io.Discard, q.Body)
	}
}

func says(text string) func(net.Conn, *bufio.Reader) bool {
	return func(c net.Conn, r *bufio.Reader) bool {
		reads(r)
		_, _ = io.WriteString(c, text)
		return true
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func call(address, id, body string) Call {
	return Call{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte(body),
		Recent: time.Minute, Accept: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func do(p *Pool, c Call) (string, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := p.Do(ctx, c)
	if err != nil {
		return "", false, err
	}
	defer a.Close()
	data, err := ReadAll(a.Body, 1<<20)
	return string(data), a.Fresh, err
}

func TestExchange(t *testing.T) {
	stray := answer("other", "not yours")
	tests := map[string]struct {
		steps  []func(net.Conn, *bufio.Reader) bool
		bodies []string
		fresh  []bool
		broken bool
	}{
		"a connection is used again":    {steps: []func(net.Conn, *bufio.Reader) bool{says(answer("0", "a")), says(answer("1", "b"))}, bodies: []string{"a", "b"}, fresh: []bool{true, false}},
		"an answer too many retires it": {steps: []func(net.Conn, *bufio.Reader) bool{says(answer("0", "a") + answer("0", "a")), says(answer("1", "b"))}, bodies: []string{"a", "b"}, fresh: []bool{true, true}},
		"extra bytes retire it":         {steps: []func(net.Conn, *bufio.Reader) bool{says(answer("0", "a") + "noise"), says(answer("1", "b"))}, bodies: []string{"a", "b"}, fresh: []bool{true, true}},
		"a stray answer is passed over": {steps: []func(net.Conn, *bufio.Reader) bool{says(stray + answer("0", "a")), says(answer("1", "b"))}, bodies: []string{"a", "b"}, fresh: []bool{true, true}},
		"no bytes that are an answer":   {steps: []func(net.Conn, *bufio.Reader) bool{says("what?\r\n\r\n")}, broken: true},
		"a body that ends early": {steps: []func(net.Conn, *bufio.Reader) bool{func(c net.Conn, r *bufio.Reader) bool {
			says(strings.Replace(answer("0", "abc"), ": 3", ": 9", 1))(c, r)
			return false
		}}, broken: true},
		"no answer at all":                {steps: []func(net.Conn, *bufio.Reader) bool{func(_ net.Conn, r *bufio.Reader) bool { reads(r); return false }}, broken: true},
		"an early notice is passed over":  {steps: []func(net.Conn, *bufio.Reader) bool{says("HTTP/1.1 100 Continue\r\n\r\n" + answer("0", "a"))}, bodies: []string{"a"}, fresh: []bool{true}},
		"an answer that says it is last":  {steps: []func(net.Conn, *bufio.Reader) bool{says(strings.Replace(answer("0", "a"), "\r\n", "\r\nConnection: close\r\n", 1)), says(answer("1", "b"))}, bodies: []string{"a", "b"}, fresh: []bool{true, true}},
		"a short keep-alive is respected": {steps: []func(net.Conn, *bufio.Reader) bool{says(strings.Replace(answer("0", "a"), "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1)), says(answer("1", "b"))}, bodies: []string{"a", "b"}, fresh: []bool{true, true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(fpclock.Boot, nil)
			defer p.Close()
			address := server(t, tt.steps...)
			if tt.broken {
				_, _, err := do(p, call(address, "0", "body"))
				is.True(errors.Is(err, ErrBroken))
				return
			}
			for i, want := range tt.bodies {
				got, fresh, err := do(p, call(address, fmt.Sprint(i), "body"))
				is.NoErr(err)
				is.Equal(got, want)
				is.Equal(fresh, tt.fresh[i])
			}
		})
	}
}

// TestClosedWhileIdle checks that a connection that its other side has closed is not used.
func TestClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	p := NewPool(fpclock.Boot, nil)
	defer p.Close()
	address := server(t, func(c net.Conn, r *bufio.Reader) bool { says(answer("0", "a"))(c, r); return false }, says(answer("1", "b")))
	_, _, err := do(p, call(address, "0", ""))
	is.NoErr(err)
	fpclock.Sleep(context.Background(), 50*time.Millisecond)
	body, fresh, err := do(p, call(address, "1", ""))
	is.NoErr(err)
	is.Equal(body, "b")
	is.True(fresh)
}

// TestEarlyAnswer checks that an answer that comes before a long body was read
// is taken, and that the rest of the body never precedes another request.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	p := NewPool(fpclock.Boot, nil)
	defer p.Close()
	address := server(t, func(c net.Conn, _ *bufio.Reader) bool {
		_, _ = io.WriteString(c, answer("0", "too long"))
		fpclock.Sleep(context.Background(), 300*time.Millisecond)
		return false
	}, says(answer("1", "b")))
	body, _, err := do(p, call(address, "0", strings.Repeat("x", 8<<20)))
	is.NoErr(err)
	is.Equal(body, "too long")
	body, fresh, err := do(p, call(address, "1", ""))
	is.NoErr(err)
	is.Equal(body, "b")
	is.True(fresh)
}

func TestNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, _, err = do(NewPool(fpclock.Boot, nil), call(address, "0", ""))
	is.True(errors.Is(err, ErrNotSent))
}
