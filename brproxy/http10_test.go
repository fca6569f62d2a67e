package brproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// rawResponse is what a caller reads from its connection.
type rawResponse struct {
	Status   int
	Body     string
	Complete bool // as the framing says, or the end of the connection if there is none
}

// doRaw sends a request to the proxy in a version of HTTP on a connection of its own.
func (s *testSystem) doRaw(t *testing.T, version, path, header string) rawResponse {
	t.Helper()
	c, err := net.Dial("tcp", s.front.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST %s %s\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n%s\r\n", path, version, header)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return rawResponse{}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return rawResponse{res.StatusCode, string(body), err == nil}
}

// event returns a whole event with an ID.

// TestUnfinishedStreamOfHTTP10 guards against a stream that is broken off and looks
// complete to a caller whose version of HTTP has no chunks.
func TestUnfinishedStreamOfHTTP10(t *testing.T) {
	s := newSystem(t, truncate(event(1)+event(2)))
	if got := s.doRaw(t, "HTTP/1.0", "/stream/", ""); got.Complete {
		t.Errorf("response %+v looks complete, want it broken off", got)
	}
}
