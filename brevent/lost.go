package brevent

import (
	"errors"
	"io"
	"syscall"
)

// EndedByPeer reports whether err means that the peer ended the connection before its
// message was complete, as opposed to a timeout or a cancellation on this side.
func EndedByPeer(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, ErrBrokenOff, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
