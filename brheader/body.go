package brheader

import (
	"errors"
	"io"
	"net/http"
	"syscall"
)

// body is the body of a response that was read from a Limiter.
type body struct {
	io.ReadCloser
	limiter *Limiter
	framing Framing
}

// limitBody replaces the body of r, which was read from l, unless it is empty.
func (l *Limiter) limitBody(r *http.Response) {
	if r.Body != http.NoBody {
		r.Body = &body{ReadCloser: r.Body, limiter: l, framing: FramingOf(r)}
	}
}

// Read implements io.Reader. It returns io.EOF only at the end of the body as its framing
// marks it, and not after a reset.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err != io.EOF:
		err = b.limiter.Cause(err)
	case b.framing == FramedByClose && b.limiter.WriteError != nil:
		if writeErr := EndOnWrite(b.limiter.WriteError()); writeErr != nil {
			err = writeErr
		}
	}
	return n, err
}

// EndOnWrite returns the error that ended a connection on which a read has returned io.EOF
// and a write err, or nil if the peer has closed it regularly. The kernel reports a reset or
// a timeout only once: if the write got it, the read returns io.EOF. After a regular close
// the error of a write is EPIPE instead. Errors that aren't of the kernel, such as that of a
// deadline, don't concern the peer.
func EndOnWrite(err error) error {
	var number syscall.Errno
	if !errors.As(err, &number) || number == syscall.EPIPE {
		return nil
	}
	return err
}
