package brheader

import (
	"bufio"
	"errors"
	"io"
	"os"
	"syscall"
	"testing"
)

// pausedReader returns first, then err once, and then rest.
type pausedReader struct {
	first, rest string
	err         error
}

func (r *pausedReader) Read(b []byte) (int, error) {
	if r.first == "" && r.err != nil {
		err := r.err
		r.err = nil
		return 0, err
	}
	if r.first == "" {
		r.first, r.rest = r.rest, ""
	}
	if r.first == "" {
		return 0, io.EOF
	}
	n := copy(b, r.first)
	r.first = r.first[n:]
	return n, nil
}

// TestErrorInHead guards against an error within a header after which the part of a line
// before it counts as the line: a response whose header pauses for a timeout would have the
// rest of the header as its body, and other errors would read as a malformed header.
func TestErrorInHead(t *testing.T) {
	const head = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
	for _, test := range []struct{ err, want error }{
		{io.EOF, io.ErrUnexpectedEOF},
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
	} {
		for i := range len(head) {
			l := NewLimiter(&pausedReader{first: head[:i], rest: head[i:] + "whole answer", err: test.err})
			if _, err := l.ReadResponse(bufio.NewReader(l), nil); !errors.Is(err, test.want) {
				t.Errorf("%v after %q: error %v, want %v", test.err, head[:i], err, test.want)
			}
		}
	}
}

// TestErrorInBody guards against an error within a body that reads as a malformed one, and
// against a reset that reads as the end of the body.
func TestErrorInBody(t *testing.T) {
	const (
		chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		closed = "HTTP/1.1 200 OK\r\n\r\n"
	)
	for _, test := range []struct {
		name, response    string
		read, write, want error
	}{
		{"in a chunk's size", chunks + "1", syscall.ECONNRESET, nil, syscall.ECONNRESET},
		{"in a chunk", chunks + "5\r\nab", io.EOF, nil, io.ErrUnexpectedEOF},
		{"before the trailer", chunks + "0\r\n", syscall.ECONNRESET, nil, syscall.ECONNRESET},
		{"in the trailer", chunks + "0\r\nX-End", io.EOF, nil, io.ErrUnexpectedEOF},
		{"in the last line end", chunks + "0\r\n\r", io.EOF, nil, io.ErrUnexpectedEOF},
		{"closed at once", closed, io.EOF, nil, io.ErrUnexpectedEOF},
		{"failure, closed at once", "HTTP/1.1 500 Failed\r\n\r\n", io.EOF, nil, nil},
		{"closed", closed + "body", io.EOF, nil, nil},
		{"closed, request not read", closed + "body", io.EOF, syscall.EPIPE, nil},
		{"closed, write interrupted", closed + "body", io.EOF, os.ErrDeadlineExceeded, nil},
		{"reset while writing", closed + "body", io.EOF, syscall.ECONNRESET, syscall.ECONNRESET},
		{"timeout while writing", closed + "body", io.EOF, syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{"reset after a whole chunked body", chunks + "0\r\n\r\n", io.EOF, syscall.ECONNRESET, nil},
	} {
		l := NewLimiter(&pausedReader{first: test.response, err: test.read})
		l.WriteError = func() error { return test.write }
		r, err := l.ReadResponse(bufio.NewReader(l), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r.Body); !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
	}
}
