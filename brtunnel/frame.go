package brtunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// A frame is a byte with its kind, two bytes with the length of its content in network
// byte order, and the content. The content of an end frame is one byte.
const (
	headerBytes = 3
	kindData    = 'D'
	kindEnd     = 'E'
)

// end is the content of an end frame: how the connection to the endpoint ended.
type end byte

const (
	endClosed end = 'c' // the endpoint closed it
	endReset  end = 'r' // the endpoint reset it
	endSilent end = 's' // the endpoint didn't acknowledge or send anything for too long
)

// Errors of a tunnel whose endpoint hasn't closed the connection.
var (
	// ErrRelayLost reports that the connection to the relay ended without an end
	// frame. It says nothing about the endpoint.
	ErrRelayLost = errors.New("brtunnel: relay lost")
	// ErrReset reports that the endpoint reset the connection. It wraps
	// syscall.ECONNRESET.
	ErrReset = fmt.Errorf("brtunnel: endpoint ended the connection: %w", syscall.ECONNRESET)
	// ErrSilent reports that the relay gave up a silent endpoint. It wraps
	// syscall.ETIMEDOUT.
	ErrSilent = fmt.Errorf("brtunnel: endpoint is silent: %w", syscall.ETIMEDOUT)
)

// putHeader writes the header of a frame with n bytes of content to b.
func putHeader(b []byte, kind byte, n int) {
	b[0] = kind
	binary.BigEndian.PutUint16(b[1:], uint16(n))
}

// endFrame returns an end frame.
func endFrame(e end) []byte {
	b := make([]byte, headerBytes+1)
	putHeader(b, kindEnd, 1)
	b[headerBytes] = byte(e)
	return b
}

// frameReader returns the content of data frames. Its error at the end is that of the
// end frame.
type frameReader struct {
	reader    *bufio.Reader
	remaining int   // number of bytes of the current data frame that are unread
	err       error // permanent error
}

// Read implements io.Reader. After a timeout it may be called again.
func (f *frameReader) Read(b []byte) (int, error) {
	if f.err != nil {
		return 0, f.err
	}
	if len(b) == 0 {
		return 0, nil
	}
	for f.remaining == 0 {
		if err := f.next(); err != nil {
			return 0, f.fail(err)
		}
	}
	n, err := f.reader.Read(b[:min(len(b), f.remaining)])
	f.remaining -= n
	if err != nil {
		return n, f.fail(relayError(err))
	}
	return n, nil
}

// fail stores a permanent error. It returns err.
func (f *frameReader) fail(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		f.err = err
	}
	return err
}

// next reads the header of a frame, and the whole frame if it is an end frame, whose
// error it returns.
func (f *frameReader) next() error {
	// Peek leaves a part of a frame in the buffer when it fails with a timeout.
	header, err := f.reader.Peek(headerBytes)
	if err != nil {
		return relayError(err)
	}
	n := int(binary.BigEndian.Uint16(header[1:]))
	switch {
	case header[0] == kindData && n > 0:
		f.remaining = n
		_, err = f.reader.Discard(headerBytes)
		return err
	case header[0] == kindEnd && n == 1:
		frame, err := f.reader.Peek(headerBytes + 1)
		if err != nil {
			return relayError(err)
		}
		return endError(end(frame[headerBytes]))
	}
	return fmt.Errorf("%w: invalid frame header % x", ErrRelayLost, header)
}

// idle reports whether f has no error and no unread bytes.
func (f *frameReader) idle() bool {
	return f.err == nil && f.remaining == 0 && f.reader.Buffered() == 0
}

// endError returns the error for an end frame.
func endError(e end) error {
	switch e {
	case endClosed:
		return io.EOF
	case endReset:
		return ErrReset
	case endSilent:
		return ErrSilent
	}
	return fmt.Errorf("%w: unknown end %q", ErrRelayLost, byte(e))
}

// relayError returns the error for one of the connection to the relay. Timeouts and the
// use of a closed connection are unchanged. All others are ErrRelayLost, which doesn't
// wrap them: io.EOF or ECONNRESET would be taken for an end by the endpoint.
func relayError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return fmt.Errorf("%w: %v", ErrRelayLost, err)
}
