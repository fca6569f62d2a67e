package brtunnel

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramleyroute/brconn"
	"bramleyroute/brheader"
)

const (
	// bufferBytes is the size of the buffer of one direction of a tunnel.
	bufferBytes = 8 << 10
	// lingerTimeout limits the time between the end frame and the client's close.
	// Closing earlier, with unread bytes of the client, would reset the connection and
	// could discard the end frame.
	lingerTimeout = time.Second
)

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// past is a deadline that interrupts reads and writes in progress.
var past = time.Unix(1, 0)

// tunnel connects a client to an endpoint.
type tunnel struct {
	server           *Server
	address          string // of the endpoint
	client, endpoint net.Conn
	active           atomic.Bool // bytes have passed since the last check by runIdle
	// answered is set when bytes come from the endpoint, and at first. The next bytes of the
	// client begin a request then, unless they are the rest of one that was answered early.
	answered atomic.Bool

	upDone chan struct{} // closed at the end of copyUp
	upErr  error         // error of writing to the endpoint; read after upDone
}

// switchProtocol answers the request for t. A client that is gone is noticed by its
// unacknowledged bytes, since a tunnel whose endpoint sends isn't idle. The timeout isn't
// shorter than that of an idle tunnel, because it also ends the connection of a client
// that is only slow to read.
func (t *tunnel) switchProtocol() error {
	if c, ok := t.client.(syscall.Conn); ok {
		raw, err := c.SyscallConn()
		if err != nil {
			return err
		}
		if err := brconn.SetUserTimeout(raw, t.server.idleTimeout()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(t.client, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", protocol)
	return err
}

// close ends t at once.
func (t *tunnel) close() {
	t.endpoint.Close()
	t.client.Close()
}

// expire ends t because no bytes have passed for too long.
func (t *tunnel) expire() {
	// Errors mean that the connection is closed. The client comes first, as copyDown
	// sets another deadline for the end frame once the endpoint is interrupted.
	_ = t.client.SetWriteDeadline(past)
	_ = t.endpoint.SetReadDeadline(past)
}

// copyUp copies first and then the bytes of the client to the endpoint. When the client
// ends the connection, that to the endpoint is closed, which cancels its request.
func (t *tunnel) copyUp(first []byte) {
	defer close(t.upDone)
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	if len(first) > 0 && !t.writeUp(first) {
		return
	}
	for {
		n, err := t.client.Read(buffer[:])
		if n > 0 && !t.writeUp(buffer[:n]) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return // copyDown has ended
		}
		if err != nil {
			t.endpoint.Close()
			return
		}
	}
}

// writeUp writes b to the endpoint. After a failure, copyDown still passes on what the
// endpoint has sent and then sees the end of the connection. If b begins a request to an
// endpoint that is to get none, writeUp ends the tunnel without an end frame.
func (t *tunnel) writeUp(b []byte) bool {
	if t.answered.Swap(false) && t.server.withheld(t.address) {
		t.endpoint.Close()
		return false
	}
	t.active.Store(true)
	t.server.toEndpoint.Add(uint64(len(b)))
	_, t.upErr = t.endpoint.Write(b)
	return t.upErr == nil
}

// copyDown copies the bytes of the endpoint to the client in frames, sends the end
// frame and closes both connections.
func (t *tunnel) copyDown() {
	defer t.server.release(t)
	defer func() { <-t.upDone }()
	defer t.close()
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := t.endpoint.Read(buffer[headerBytes:])
		if n > 0 && !t.writeDown(buffer, n) {
			return
		}
		if err != nil {
			t.end(err)
			return
		}
	}
}

// writeDown writes a frame with the n bytes after the space for the header in buffer.
func (t *tunnel) writeDown(buffer *[bufferBytes]byte, n int) bool {
	t.active.Store(true)
	t.answered.Store(true)
	t.server.toClient.Add(uint64(n))
	putHeader(buffer[:], kindData, n)
	_, err := t.client.Write(buffer[:headerBytes+n])
	return err == nil
}

// end stops copyUp, sends the end frame for the error of reading from the endpoint, and
// waits until the client closes the connection.
func (t *tunnel) end(err error) {
	// Errors of setting a deadline mean that the connection is closed, which ends
	// copyUp as well.
	_ = t.endpoint.SetWriteDeadline(past)
	_ = t.client.SetReadDeadline(past)
	<-t.upDone
	e, ok := endOf(err, t.upErr)
	if !ok {
		return
	}
	if t.client.SetDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	t.endpoint.Close()
	if _, err := t.client.Write(endFrame(e)); err != nil {
		return
	}
	if c, ok := t.client.(interface{ CloseWrite() error }); ok && c.CloseWrite() != nil {
		return
	}
	discard(t.client)
}

// endOf returns the end for the errors of reading from and writing to the endpoint. It
// returns false if this side has closed the connection.
//
// If the write got the reset or the timeout, the read returns io.EOF; see
// brheader.EndOnWrite.
func endOf(read, write error) (end, bool) {
	switch {
	case errors.Is(read, net.ErrClosed):
		return 0, false
	case errors.Is(read, syscall.ECONNRESET), errors.Is(read, syscall.EPIPE):
		return endReset, true
	case !errors.Is(read, io.EOF):
		return endSilent, true
	case errors.Is(write, syscall.ECONNRESET):
		return endReset, true
	case brheader.EndOnWrite(write) != nil:
		return endSilent, true
	}
	return endClosed, true
}

// discard reads c to its end or deadline.
func discard(c net.Conn) {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		if _, err := c.Read(buffer[:]); err != nil {
			return
		}
	}
}
