package brpeer

import (
	"context"
	"fmt"
	"runtime/debug"

	"bramleyroute/brerror"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

// Mux maps message names to handlers. Its zero value is an empty mux. All handlers
// must be registered before the mux serves its first connection.
type Mux struct {
	// Stamp returns the clock's stamp for a message that is about to be sent.
	// ReceiveStamp is called with the stamp of a message before its handler, so that
	// events of the handler are stamped later than those that led to the message.
	// Both may be nil. They run in the goroutines of the senders and the readers and
	// must not block.
	Stamp        func() brtimeline.Stamp
	ReceiveStamp func(brtimeline.Stamp)

	// OnPanic is called when the handler of the message name has panicked with value. A
	// call then fails, and after a push the connection is closed, so that one message
	// doesn't end the process. It may be nil.
	OnPanic func(name string, value any, stack []byte)

	// OnDropped is called for a push or a frame of unknown kind that this build can't
	// handle: name has no handler, or its message can't be decoded. Another build sent it
	// and would send it again over a new connection, so that the connection stays open. It
	// may be nil, runs in the goroutine of the reader and must not block.
	OnDropped func(name string, err error)

	calls  map[string]func(context.Context, *Conn, brwire.RawMessage) ([]byte, error)
	pushes map[string]func(*Conn, brwire.RawMessage) error
}

// HandleCall registers f as the handler of calls of name. Each call runs in its own
// goroutine. ctx ends when the connection is closed. HandleCall panics if name already
// has a call handler.
func HandleCall[Req, Resp any](m *Mux, name string, f func(ctx context.Context, c *Conn, req Req) (Resp, error)) {
	if _, ok := m.calls[name]; ok {
		panic("brpeer: call handler registered twice: " + name)
	}
	if m.calls == nil {
		m.calls = map[string]func(context.Context, *Conn, brwire.RawMessage) ([]byte, error){}
	}
	m.calls[name] = func(ctx context.Context, c *Conn, body brwire.RawMessage) (_ []byte, err error) {
		defer m.recoverHandler(name, &err)
		req, err := brwire.Decode[Req](body)
		if err != nil {
			return nil, brerror.New(brerror.InvalidRequest, "decode %s: %w", name, err)
		}
		resp, err := f(ctx, c, req)
		if err != nil {
			return nil, err
		}
		return brwire.Encode(resp)
	}
}

// recoverHandler sets err if the handler of the message name has panicked. It must be
// deferred.
func (m *Mux) recoverHandler(name string, err *error) {
	value := recover()
	if value == nil {
		return
	}
	if m.OnPanic != nil {
		m.OnPanic(name, value, debug.Stack())
	}
	*err = fmt.Errorf("brpeer: handler of %s panicked: %v", name, value)
}

// drop reports a frame that isn't handled.
func (m *Mux) drop(name string, err error) {
	if m.OnDropped != nil {
		m.OnDropped(name, err)
	}
}

// HandlePush registers f as the handler of pushes of name. Pushes of one connection
// are handled one at a time in the order of their arrival. f must not block, because
// nothing else is read from the connection meanwhile. A push that can't be decoded is
// dropped. HandlePush panics if name already
// has a push handler.
func HandlePush[T any](m *Mux, name string, f func(c *Conn, msg T)) {
	if _, ok := m.pushes[name]; ok {
		panic("brpeer: push handler registered twice: " + name)
	}
	if m.pushes == nil {
		m.pushes = map[string]func(*Conn, brwire.RawMessage) error{}
	}
	m.pushes[name] = func(c *Conn, body brwire.RawMessage) (err error) {
		defer m.recoverHandler(name, &err)
		msg, err := brwire.Decode[T](body)
		if err != nil {
			m.drop(name, fmt.Errorf("brpeer: decode push %s: %w", name, err))
			return nil
		}
		f(c, msg)
		return nil
	}
}
