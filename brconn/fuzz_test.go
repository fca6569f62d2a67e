package brconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"bramleyroute/brtest"
)

// FuzzResponse guards against bytes of an endpoint that end the process, block a request,
// are taken for the response to it though they name none, or leave a connection on which
// the next request gets the rest of them.
func FuzzResponse(f *testing.F) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"HTTP/1.1 101 Switching\r\nId: 1\r\n\r\n", "HTTP/1.1 204 No\r\nId: 1\r\n\r\nx", "HTTP/9.9 999 \r\n\r\n", "out of memory\n\n", "",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999999999999999\r\nKeep-Alive: timeout=-1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
	} {
		f.Add([]byte(response))
	}
	var mu sync.Mutex
	var response []byte
	address := brtest.ServeConns(f, func(c net.Conn) {
		r := bufio.NewReader(c)
		for first := true; ; first = false {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if !first || q.Header.Get("Id") != "1" {
				respond(c, q.Header.Get("Id"), "sound")
				continue
			}
			mu.Lock()
			b := response
			mu.Unlock()
			if _, err := c.Write(b); err != nil || q.Header.Get("Close") != "" {
				return
			}
		}
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		mu.Lock()
		response = data
		mu.Unlock()
		p := &Pool{
			Matches: func(id string, a *Response) bool {
				return a.Header.Get("Id") == id || a.Header.Get("Id") == "" && a.Header.Get("Not-Run") != ""
			},
			Refusal: func(a *Response) (refusal, named bool) {
				return a.Header.Get("Not-Run") != "", a.Header.Get("Id") != ""
			},
		}
		defer p.Close()
		for _, closing := range []string{"1", ""} {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
			header := http.Header{"Id": {"1"}}
			if closing != "" {
				header.Set("Close", closing)
			}
			x, err := p.Send(ctx, address, Request{ID: "1", Method: "POST", URI: "/", Host: "h", Header: header})
			var sent *SendError
			switch {
			case err == nil && x.Response.Header.Get("Id") != "1" && x.Response.Header.Get("Not-Run") == "":
				t.Errorf("%q was taken for the response to the request", data)
				x.Close()
			case err == nil:
				_, _ = io.Copy(io.Discard, x)
				x.Close()
			case !errors.As(err, &sent) || !sent.MaybeSent && ctx.Err() == nil:
				t.Errorf("error %v, want a SendError with MaybeSent set", err)
			}
			cancel()
		}
		if body, err := send(p, address, "2", "POST"); err == nil && body != "sound" {
			t.Errorf("after %q: the next request got %q", data, body)
		}
	})
}
