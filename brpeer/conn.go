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
	// PingInterval is how often each end sends a ping frame.
	PingInterval = time.Second
	// IdleTimeout is how long a connection may stay without any frame from the
	// other end before it is closed.
	IdleTimeout = 3 * time.Second
	// writeTimeout bounds one frame's write; a peer that reads nothing for so
	// long is treated as lost.
	writeTimeout = 3 * time.Second
	// sendQueue is the number of frames that may wait for the writer. A peer
	// that falls behind by more is disconnected and catches up after it
	// reconnects.
	sendQueue = 4096
)

// ErrClosed is returned by calls and pushes on a connection that has ended.
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

	// Stamp of the sender's hybrid logical clock in two parts, which take a third
	// less on the wire than its text. Pings carry none.
	Wall    int64  `cbor:"wall,omitempty"`
	Logical uint32 `cbor:"logical,omitempty"`
}

// Conn is one open link. It is safe for concurrent use.
type Conn struct {
	ws     *websocket.Conn
	mux    *Mux
	ctx    context.Context
	cancel context.CancelCauseFunc
	out    chan *frame // of pointers: sendQueue frames by value would take 288 KiB for each connection
	wg     sync.WaitGroup
	lastID atomic.Uint64
	heard  atomic.Int64 // UnixNano of the last frame, on the process's monotonic base

	bytesIn, bytesOut atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]chan frame
	peer    string
}

// processStart is the base of the monotonic times kept as integers.
var processStart = time.Now()

func newConn(ws *websocket.Conn, mux *Mux) *Conn {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &Conn{
		ws:      ws,
		mux:     mux,
		ctx:     ctx,
		cancel:  cancel,
		out:     make(chan *frame, sendQueue),
		pending: map[uint64]chan frame{},
	}
	ws.SetReadLimit(brwire.MaxMessage + 1024)
	c.heard.Store(int64(time.Since(processStart)))
	c.wg.Add(3)
	go c.readLoop()
	go c.writeLoop()
	go c.watchdog()
	return c
}

// SetPeer stores the identity that the other end told; Peer returns it.
func (c *Conn) SetPeer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peer = id
}

// Peer returns the identity set by SetPeer, or "".
func (c *Conn) Peer() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Bytes returns how many payload bytes the connection has received and sent.
func (c *Conn) Bytes() (in, out uint64) { return c.bytesIn.Load(), c.bytesOut.Load() }

// Silent returns how long ago the last frame of the other end arrived.
func (c *Conn) Silent() time.Duration {
	return time.Since(processStart) - time.Duration(c.heard.Load())
}

// Close ends the connection and waits until its goroutines and the handlers of
// its calls have returned. It must not be called from a push handler; see Abort.
func (c *Conn) Close() {
	c.Abort(ErrClosed)
	c.wg.Wait()
}

// Abort ends the connection with a cause and doesn't wait.
func (c *Conn) Abort(cause error) {
	c.cancel(cause)
	go c.ws.CloseNow()
}

// Call sends req and waits for the answer. It returns an error of package
// brerror when the other end's handler failed, an error that wraps ErrClosed
// when the connection ended first, and ctx's error when ctx did. In the latter
// two cases the call may have been carried out.
func Call[Req, Resp any](ctx context.Context, c *Conn, name string, req Req) (Resp, error) {
	var zero Resp
	body, err := brwire.Encode(req)
	if err != nil {
		return zero, err
	}
	id := c.lastID.Add(1)
	answer := make(chan frame, 1)
	c.mu.Lock()
	c.pending[id] = answer
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
	case f := <-answer:
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

// Push sends msg without waiting for an answer. Pushes and calls of one
// connection arrive in the order of their sending. An error means that the
// connection has ended.
func Push[T any](c *Conn, name string, msg T) error {
	body, err := brwire.Encode(msg)
	if err != nil {
		return err
	}
	return PushEncoded(c, name, body)
}

// PushEncoded is Push for a message that is encoded already, for one that goes to
// many connections.
func PushEncoded(c *Conn, name string, body brwire.RawMessage) error {
	return c.send(frame{Kind: framePush, Name: name, Body: body})
}

func (c *Conn) send(f frame) error {
	if err := c.ctx.Err(); err != nil {
		return fmt.Errorf("brpeer: send: %w", context.Cause(c.ctx))
	}
	if c.mux.Stamp != nil && f.Kind != framePing {
		st := c.mux.Stamp()
		f.Wall, f.Logical = st.Wall, st.Logical
	}
	select {
	case c.out <- &f:
		return nil
	default:
		c.Abort(fmt.Errorf("brpeer: peer is %d frames behind: %w", sendQueue, ErrClosed))
		return fmt.Errorf("brpeer: send: %w", context.Cause(c.ctx))
	}
}

func (c *Conn) writeLoop() {
	defer c.wg.Done()
	for {
		select {
		case <-c.ctx.Done():
			return
		case f := <-c.out:
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
		c.heard.Store(int64(time.Since(processStart)))
		f, err := brwire.Decode[frame](b)
		if err == nil {
			err = c.receive(f)
		}
		if err != nil {
			c.Abort(fmt.Errorf("%w: %w", ErrClosed, err))
			return
		}
	}
}

func (c *Conn) receive(f frame) error {
	if c.mux.Received != nil && f.Wall != 0 {
		c.mux.Received(brtimeline.Stamp{Wall: f.Wall, Logical: f.Logical})
	}
	switch f.Kind {
	case framePing:
		return nil
	case framePush:
		h, ok := c.mux.pushes[f.Name]
		if !ok {
			return fmt.Errorf("brpeer: no handler for push %q", f.Name)
		}
		return h(c, f.Body)
	case frameCall:
		c.wg.Add(1)
		go c.serve(f)
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
	return fmt.Errorf("brpeer: unknown frame kind %d", f.Kind)
}

func (c *Conn) serve(f frame) {
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
	_ = c.send(reply) // an error means that the connection has ended and the caller knows
}

// watchdog sends pings and closes the connection when the other end is silent.
func (c *Conn) watchdog() {
	defer c.wg.Done()
	t := time.NewTicker(PingInterval)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
			if silent := c.Silent(); silent > IdleTimeout {
				c.Abort(fmt.Errorf("%w: no frame for %v", ErrClosed, silent.Round(time.Millisecond)))
				return
			}
			_ = c.send(frame{Kind: framePing})
		}
	}
}
