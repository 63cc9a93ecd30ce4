package fpgateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendText sends a text to the host on a connection of its own and returns the answer.
func (tc *testCluster) sendText(text string) (*http.Response, error) {
	tc.t.Helper()
	c, err := net.Dial("tcp", tc.hostSettings.CallersAddress)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

const ordinaryHeader = "Host: a.example\r\nAttempt-Id: id\r\nAuthorization: Token key\r\n"

// TestHeaderAtLimit checks that a header of just the configuration's limit is served, however short its lines are.
func TestHeaderAtLimit(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	limit := configDocument(1)["limits"].(map[string]any)["max_header_bytes"].(int)
	header := ordinaryHeader + strings.Repeat("a:\r\n", (limit-len(ordinaryHeader))/4-2)
	header += "b:" + strings.Repeat("x", limit-len(header)-4) + "\r\n"
	is.Equal(len(header), limit)
	res, err := tc.sendText("GET /read/x HTTP/1.1\r\n" + header + "\r\n")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	res, err = tc.sendText("GET /read/x HTTP/1.1\r\n" + strings.Replace(header, "b:", "b:x", 1) + "\r\n")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// TestRefusalDoesNotWaitForBody checks that a refusal is sent while the request's body lacks a byte.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	tests := map[string]struct {
		path, header string
		status       int
	}{
		"unknown key":   {"/read/x", strings.Replace(ordinaryHeader, "Token key", "Token other", 1), http.StatusUnauthorized},
		"unknown route": {"/none/x", ordinaryHeader, http.StatusNotFound},
		"long header":   {"/read/x", ordinaryHeader + "A: " + strings.Repeat("x", 5000) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"no ID":         {"/read/x", strings.Replace(ordinaryHeader, "Attempt-Id: id\r\n", "Deadline-Ms: x\r\n", 1), http.StatusBadRequest},
	}
	tc := newTestCluster(t)
	for name, tt := range tests {
		for _, body := range []int{5, 9000} {
			t.Run(name+"/"+strconv.Itoa(body), func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				res, err := tc.sendText("POST " + tt.path + " HTTP/1.1\r\n" + tt.header + "Content-Length: " + strconv.Itoa(body) + "\r\n\r\n" + strings.Repeat("x", body-1))
				is.NoErr(err)
				is.Equal(res.StatusCode, tt.status)
				is.True(time.Since(began) < time.Second)
			})
		}
	}
}

// TestRefusedClientIsLogged checks that the log tells why a client was refused before its header was read.
func TestRefusedClientIsLogged(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t)
	res, err := tc.sendText("GET /read/x HTTP/1.1\r\n" + ordinaryHeader + "A: " + strings.Repeat("x", 4096) + "\r\n\r\n")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	tc.waitFor(func() bool {
		for line := range strings.Lines(tc.logs.String()) {
			if strings.Contains(line, `"client refused"`) && strings.Contains(line, `"long_header"`) {
				return true
			}
		}
		return false
	}, "the line")
}
