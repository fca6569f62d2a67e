package brconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"bramleyroute/brevent"
	"bramleyroute/brtest"
)

// TestErrorOfCutResponse guards against a break in the middle of a line that is taken for a
// malformed response, and against a reset that is taken for a regular close: then the
// endpoint isn't known to have ended the connection, and the path to it isn't checked.
func TestErrorOfCutResponse(t *testing.T) {
	for _, response := range brtest.SoundResponses("", "whole content") {
		for sent := range len(response.String()) {
			for _, ending := range []brtest.Ending{brtest.Closed, brtest.Reset} {
				if response.Close && ending == brtest.Closed && sent > len(response.Head) {
					continue // whole as the framing says
				}
				part := response.String()[:sent]
				server := httptest.NewServer(brtest.CutHandler(t, part, ending))
				p := &Pool{}
				_, err := send(p, server.Listener.Addr().String(), "1", "POST")
				if !brevent.EndedByPeer(err) || errors.Is(err, syscall.ECONNRESET) != (ending == brtest.Reset) {
					t.Errorf("%s, %s after %q: error %v, want an end by the endpoint", response.Name, ending, part, err)
				}
				p.Close()
				server.Close()
			}
		}
	}
}

// TestResetWhileSending guards against a response that is marked by the end of the
// connection and counts as complete after a reset, which the kernel returns only to the
// write of the request: the read returns io.EOF then.
func TestResetWhileSending(t *testing.T) {
	e := startEndpoint(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // the write of the request waits for room
		c.(*net.TCPConn).SetLinger(0)
	})
	p := newPool()
	defer p.Close()
	for range 10 {
		x, err := p.Send(context.Background(), e.address, Request{
			ID: "1", Method: "POST", URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte(strings.Repeat("x", 16<<20)),
		})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(40 * time.Millisecond) // the write gets the reset
		body, err := io.ReadAll(x)
		x.Close()
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("body %q, error %v, want ECONNRESET", body, err)
		}
	}
}
