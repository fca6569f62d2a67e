package brpeer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
	"github.com/coder/websocket"
)

const (
	// PingInterval is the interval at which each end sends ping frames.
	PingInterval = time.Second
	// IdleTimeout is the time without any frame from the other end after which a
	// connection is closed.
	IdleTimeout = 3 * time.Second
	// writeTimeout is the timeout of the write of one frame. The connection to a peer
	// that reads nothing for that long is closed.
	writeTimeout = 3 * time.Second
	// sendQueue is the maximum number of frames that wait to be written. If there are
	// more, the connection is closed; the peer catches up after it reconnects.
	sendQueue = 4096
)

// ErrClosed is wrapped by the errors of calls and pushes on a closed connection.
var ErrClosed = errors.New("brpeer: connection closed")

type frameKind uint8

const (
	frameCall frameKind = iota + 1
	frameReply
	frameError
	framePush
	framePing
)

type frame struct {
	Kind frameKind         `cbor:"kind"`
	ID   uint64            `cbor:"id,omitempty"`
	Name string            `cbor:"name,omitempty"`
	Body brwire.RawMessage `cbor:"body,omitempty"`

	// Wall and Logical are the stamp of the sender's hybrid logical clock. As two
	// numbers, it takes a third less space than as text. Pings have no stamp.
	Wall    int64  `cbor:"wall,omitempty"`
	Logical uint32 `cbor:"logical,omitempty"`
}

// Conn is an open connection of a link. It is safe for concurrent use.
type Conn struct {
	ws           *websocket.Conn
	mux          *Mux
	ctx          context.Context
	cancel       context.CancelCauseFunc
	outgoing     chan *frame // pointers, since sendQueue frames by value would take 288 KiB per connection
	wg           sync.WaitGroup
	lastID       atomic.Uint64
	lastReceived atomic.Int64 // time of the last received frame, in nanoseconds since processStart

	bytesIn, bytesOut atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]chan frame
	peerID  string // ID of the other end
}

// processStart is the origin of monotonic times that are stored as integers.
var processStart = time.Now()

// newConn returns a connection over ws and starts its goroutines.
func newConn(ws *websocket.Conn, mux *Mux) *Conn {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &Conn{
		ws:       ws,
		mux:      mux,
		ctx:      ctx,
		cancel:   cancel,
		outgoing: make(chan *frame, sendQueue),
		pending:  map[uint64]chan frame{},
	}
	ws.SetReadLimit(brwire.MaxMessage + 1024)
	c.lastReceived.Store(int64(time.Since(processStart)))
	c.wg.Add(3)
	go c.readLoop()
	go c.writeLoop()
	go c.watchdog()
	return c
}

// SetPeerID sets the ID that the other end sent; PeerID returns it.
func (c *Conn) SetPeerID(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerID = id
}

// PeerID returns the ID set by SetPeerID, or "".
func (c *Conn) PeerID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerID
}

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Bytes returns the number of payload bytes that the connection has received and sent.
func (c *Conn) Bytes() (in, out uint64) { return c.bytesIn.Load(), c.bytesOut.Load() }

// Queued returns the number of frames that wait to be written.
func (c *Conn) Queued() int { return len(c.outgoing) }

// SinceLastFrame returns the time since the last frame from the other end, or since the
// creation of the connection.
func (c *Conn) SinceLastFrame() time.Duration {
	return time.Since(processStart) - time.Duration(c.lastReceived.Load())
}

// Close closes the connection and waits until its goroutines and the handlers of its
// calls have returned. It must not be called from a handler, which would wait for
// itself; see Abort.
func (c *Conn) Close() {
	c.Abort(ErrClosed)
	c.wg.Wait()
}

// Abort closes the connection with the given cause without waiting.
func (c *Conn) Abort(cause error) {
	c.cancel(cause)
	go c.ws.CloseNow()
}

// Call sends req and returns the reply. The error is a *brerror.Error if the handler
// of the other end failed. It wraps ErrClosed if the connection closed first, or the
// cause of ctx if ctx ended first; in these two cases the other end may have handled
// the call.
func Call[Req, Resp any](ctx context.Context, c *Conn, name string, req Req) (Resp, error) {
	var zero Resp
	body, err := brwire.Encode(req)
	if err != nil {
		return zero, err
	}
	id := c.lastID.Add(1)
	reply := make(chan frame, 1)
	c.mu.Lock()
	c.pending[id] = reply
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()
	if err := c.send(frame{Kind: frameCall, ID: id, Name: name, Body: body}); err != nil {
		return zero, err
	}
	select {
	case f := <-reply:
		if f.Kind == frameError {
			e, err := brwire.Decode[brerror.Error](f.Body)
			if err != nil {
				return zero, err
			}
			return zero, &e
		}
		return brwire.Decode[Resp](f.Body)
	case <-ctx.Done():
		return zero, fmt.Errorf("brpeer: call %s: %w", name, context.Cause(ctx))
	case <-c.ctx.Done():
		return zero, fmt.Errorf("brpeer: call %s: %w", name, context.Cause(c.ctx))
	}
}

// Push sends msg without waiting for a reply. Pushes and calls on one connection
// arrive in the order in which they were sent. An error means that msg couldn't be
// encoded or that the connection is closed.
func Push[T any](c *Conn, name string, msg T) error {
	body, err := brwire.Encode(msg)
	if err != nil {
		return err
	}
	return PushEncoded(c, name, body)
}

// PushEncoded is Push for an encoded message. It saves repeated encoding of a message
// that is sent on several connections.
func PushEncoded(c *Conn, name string, body brwire.RawMessage) error {
	return c.send(frame{Kind: framePush, Name: name, Body: body})
}

// send queues f for writing. If the queue is full, it closes the connection.
func (c *Conn) send(f frame) error {
	if err := c.ctx.Err(); err != nil {
		return fmt.Errorf("brpeer: send: %w", context.Cause(c.ctx))
	}
	if c.mux.Stamp != nil && f.Kind != framePing {
		st := c.mux.Stamp()
		f.Wall, f.Logical = st.Wall, st.Logical
	}
	select {
	case c.outgoing <- &f:
		return nil
	default:
		c.Abort(fmt.Errorf("brpeer: send queue of %d frames is full: %w", sendQueue, ErrClosed))
		return fmt.Errorf("brpeer: send: %w", context.Cause(c.ctx))
	}
}

func (c *Conn) writeLoop() {
	defer c.wg.Done()
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.outgoing:
			b, err := brwire.Encode(f)
			if err != nil {
				c.Abort(err)
				return
			}
			ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
			err = c.ws.Write(ctx, websocket.MessageBinary, b)
			cancel()
			if err != nil {
				c.Abort(fmt.Errorf("%w: write: %w", ErrClosed, err))
				return
			}
			c.bytesOut.Add(uint64(len(b)))
		}
	}
}

func (c *Conn) readLoop() {
	defer c.wg.Done()
	for {
		_, b, err := c.ws.Read(c.ctx)
		if err != nil {
			c.Abort(fmt.Errorf("%w: read: %w", ErrClosed, err))
			return
		}
		c.bytesIn.Add(uint64(len(b)))
		c.lastReceived.Store(int64(time.Since(processStart)))
		f, err := brwire.Decode[frame](b)
		if err == nil {
			err = c.handleFrame(f)
		}
		if err != nil {
			c.Abort(fmt.Errorf("%w: %w", ErrClosed, err))
			return
		}
	}
}

// handleFrame handles one frame. An error closes the connection.
func (c *Conn) handleFrame(f frame) error {
	if c.mux.ReceiveStamp != nil && f.Wall != 0 {
		c.mux.ReceiveStamp(brtimeline.Stamp{Wall: f.Wall, Logical: f.Logical})
	}
	switch f.Kind {
	case framePing:
		return nil
	case framePush:
		h, ok := c.mux.pushes[f.Name]
		if !ok {
			c.mux.drop(f.Name, errors.New("brpeer: push has no handler"))
			return nil
		}
		return h(c, f.Body)
	case frameCall:
		c.wg.Add(1)
		go c.serveCall(f)
		return nil
	case frameReply, frameError:
		c.mu.Lock()
		ch := c.pending[f.ID]
		delete(c.pending, f.ID)
		c.mu.Unlock()
		if ch != nil {
			ch <- f
		}
		return nil
	}
	c.mux.drop(f.Name, fmt.Errorf("brpeer: unknown frame kind %d", f.Kind))
	return nil
}

// serveCall runs the handler of a call and sends its reply.
func (c *Conn) serveCall(f frame) {
	defer c.wg.Done()
	reply := frame{Kind: frameReply, ID: f.ID}
	h, ok := c.mux.calls[f.Name]
	var err error
	if !ok {
		err = brerror.New(brerror.InvalidRequest, "no handler for call %q", f.Name)
	} else {
		reply.Body, err = h(c.ctx, c, f.Body)
	}
	if err != nil {
		reply.Kind = frameError
		reply.Body, err = brwire.Encode(*brerror.From(err))
		if err != nil {
			c.Abort(err)
			return
		}
	}
	_ = c.send(reply) // an error means that the connection is closed, which also ends the call
}

// watchdog sends pings, and closes the connection if no frame arrives for IdleTimeout.
func (c *Conn) watchdog() {
	defer c.wg.Done()
	t := time.NewTicker(PingInterval)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
			if idle := c.SinceLastFrame(); idle > IdleTimeout {
				c.Abort(fmt.Errorf("%w: no frame received for %v", ErrClosed, idle.Round(time.Millisecond)))
				return
			}
			_ = c.send(frame{Kind: framePing})
		}
	}
}
