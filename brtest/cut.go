package brtest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Ending says what follows the part of a response that a server sends.
type Ending uint8

// The values of Ending.
const (
	Closed Ending = iota // the connection is closed
	Reset                // the connection is reset
	Silent               // nothing, until the client closes the connection
)

// Endings lists all values of Ending.
var Endings = []Ending{Closed, Reset, Silent}

// String returns the name of e.
func (e Ending) String() string { return [...]string{"closed", "reset", "silent"}[e] }

// CutHandler returns a handler that sends response, which begins with the status line,
// unchanged, and then ends as e says.
func CutHandler(t testing.TB, response string, e Ending) http.HandlerFunc {
	switch e {
	case Closed:
		return RawHandler(t, response)
	case Reset:
		return RawResetHandler(t, response)
	}
	return RawConnHandler(t, func(c *net.TCPConn) {
		if _, err := io.WriteString(c, response); err == nil {
			_, _ = io.Copy(io.Discard, c) // ends when the client closes the connection
		}
	})
}

// SoundResponse is a response whose parts tests cut off.
type SoundResponse struct {
	Name    string
	Head    string // including its empty line
	Body    string // as it is framed
	Content string // of the body
	Close   bool   // the end of the connection marks the end of the body
}

// String returns the bytes of r.
func (r SoundResponse) String() string { return r.Head + r.Body }

// SoundResponses returns responses with content in all ways of framing. fields are added to
// the head, and each of its lines ends with CRLF.
func SoundResponses(fields, content string) []SoundResponse {
	const status = "HTTP/1.1 200 OK\r\n"
	half := len(content) / 2
	length := fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n", status, fields, len(content))
	return []SoundResponse{
		{Name: "length", Head: length, Body: content, Content: content},
		{Name: "length after 103", Head: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + length, Body: content, Content: content},
		{
			Name: "chunks", Head: status + fields + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n", Content: content,
			Body: fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\nX-End: 1\r\n\r\n", half, content[:half], len(content)-half, content[half:]),
		},
		{Name: "close", Head: status + fields + "\r\n", Body: content, Content: content, Close: true},
	}
}
