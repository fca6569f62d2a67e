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
