//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client is a client with one kept connection.
type client struct {
	world  *world
	name   string
	daemon *daemon
	conn   net.Conn
	reader *bufio.Reader
}

var requests atomic.Int64

// dial opens a connection to the front address of a daemon.
func (w *world) dial(name string, d *daemon) (*client, error) {
	c, err := net.DialTimeout("tcp", d.address(frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{w, name, d, c, bufio.NewReader(c)}, nil
}

func (c *client) close() { c.conn.Close() }

// answer is what a client got for a request.
type answer struct {
	id       string
	status   int // 0 if the connection ended before an answer
	complete bool
	notRun   bool // the status promises that the request hasn't run
	closing  bool // the connection can't be used any more
	body     string
	sentAt   time.Time
	took     time.Duration
	err      error
}

// ask sends a request and reads the answer to its end. A tokens of "" leaves out the token
// count.
func (c *client) ask(method, path, tokens string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+requests.Add(1)), sentAt: time.Now()}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nApi-Key: %s\r\n",
		method, path, host, headerID, a.id, headerDeadline, deadline.Milliseconds(), apiKey)
	if tokens != "" {
		fmt.Fprintf(&b, "X-Bramleyroute-Model: m\r\n%s: %s\r\nX-Bramleyroute-Prefix-Hash: 5c1e07a2:60,%s:400\r\n", headerTokens, tokens, a.id[8:])
	}
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("x", 600)
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, a.err = io.WriteString(c.conn, b.String()); a.err != nil {
		return a
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	content, err := io.ReadAll(r.Body)
	r.Body.Close()
	a.status, a.body, a.err, a.took, a.closing = r.StatusCode, string(content), err, time.Since(a.sentAt), r.Close
	a.complete = err == nil
	switch r.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		a.notRun = true
	}
	return a
}

func (a answer) String() string {
	s := fmt.Sprintf("request %s: status %d, complete %v, %d events, after %v", a.id, a.status, a.complete, strings.Count(a.body, "\n\n"), a.took.Round(time.Millisecond))
	if a.err != nil {
		s += ": " + a.err.Error()
	}
	return s
}

// timedOut reports whether the client itself gave up at its deadline.
func (a answer) timedOut() bool {
	var n net.Error
	return errors.As(a.err, &n) && n.Timeout()
}
