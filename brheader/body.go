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
	// content reports whether the body must have a byte: that of a success whose end only
	// the connection marks. Its end doesn't tell an empty body from that of a server that
	// crashed after the header.
	content bool
}

// limitBody replaces the body of r, which was read from l, unless it is empty.
func (l *Limiter) limitBody(r *http.Response) {
	if r.Body == http.NoBody {
		return
	}
	b := &body{ReadCloser: r.Body, limiter: l, framing: FramingOf(r)}
	b.content = b.framing == FramedByClose && r.StatusCode < http.StatusMultipleChoices && r.StatusCode != http.StatusResetContent
	r.Body = b
}

// Read implements io.Reader. It returns io.EOF only at the end of the body as its framing
// marks it, and not after a reset.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.content = false
	}
	switch {
	case err != io.EOF:
		err = b.limiter.Cause(err)
	case b.framing == FramedByClose:
		err = b.checkClose()
	}
	return n, err
}

// checkClose returns the error of a body that has ended with the connection: io.EOF if it is
// complete.
func (b *body) checkClose() error {
	if b.limiter.WriteError != nil {
		if err := EndOnWrite(b.limiter.WriteError()); err != nil {
			return err
		}
	}
	if b.content {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
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
