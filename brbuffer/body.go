package brbuffer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// minSegmentBytes is the size of the first segment of a body without a stated length.
	minSegmentBytes = 4 << 10
	// maxSegmentBytes limits what is allocated ahead of the bytes that arrive.
	maxSegmentBytes = 256 << 10
	// deadlineInterval is the time between two moves of the read deadline while bytes arrive.
	deadlineInterval = stallTime / 2
	// DefaultIdle is the value of Options.Idle if it has none.
	DefaultIdle = 10 * time.Second
)

// Errors of Read besides ErrNoRoom and those of the connection.
var (
	// ErrTooLarge reports a body that is longer than Options.Limit.
	ErrTooLarge = errors.New("brbuffer: request body is too large")
	// ErrTimeout reports a body of which no byte arrived for Options.Idle, or that wasn't
	// complete at Options.Deadline.
	ErrTimeout = errors.New("brbuffer: request body arrives too slowly")
	// ErrStopped reports that Options.Stop ended.
	ErrStopped = errors.New("brbuffer: reading of the request body was stopped")
)

// Options are the limits of one body.
type Options struct {
	Limit    int64         // in bytes
	Idle     time.Duration // longest time without a byte; 0 means DefaultIdle
	Deadline time.Time     // time at which the body must be complete; zero means none
	// Stop ends the reading when it is done. It may be nil.
	Stop context.Context
}

// Body is a request body. The zero value is an empty one.
type Body struct {
	segments [][]byte
	length   int
	holder   *Holder // nil if nothing was read
}

// Len returns the length of b in bytes.
func (b *Body) Len() int { return b.length }

// Segments returns the parts of b in order. They must not be changed.
func (b *Body) Segments() [][]byte { return b.segments }

// Reader returns a reader of b.
func (b *Body) Reader() io.Reader {
	readers := make([]io.Reader, len(b.segments))
	for i, s := range b.segments {
		readers[i] = bytes.NewReader(s)
	}
	return io.MultiReader(readers...)
}

// Bytes returns b as one slice. If b has several segments, it reserves room for the copy,
// which replaces them.
func (b *Body) Bytes() ([]byte, error) {
	switch len(b.segments) {
	case 0:
		return nil, nil
	case 1:
		return b.segments[0], nil
	}
	if err := b.holder.Reserve(b.length); err != nil {
		return nil, err
	}
	b.segments = [][]byte{bytes.Join(b.segments, nil)}
	return b.segments[0], nil
}

// Reserve reserves n bytes for what is made of b, until Release.
func (b *Body) Reserve(n int) error {
	if b.holder == nil {
		return nil
	}
	return b.holder.Reserve(n)
}

// Release releases the memory of b, which must not be used any more. b may be nil.
func (b *Body) Release() {
	if b == nil {
		return
	}
	if b.holder != nil {
		b.holder.Release()
	}
	b.segments = nil
}

// Read reads the body of r. The caller must call Release of the result. After an error the
// connection can't be kept, and Read has set the header that says so.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request, o Options) (*Body, error) {
	if r.ContentLength == 0 {
		return &Body{}, nil
	}
	control := http.NewResponseController(w)
	interrupt := func() {
		// An error means that the connection is closed, or has no deadlines in a test.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	}
	fail := func(err error) (*Body, error) {
		b.countError(err)
		w.Header().Set("Connection", "close")
		interrupt() // net/http would wait for a part of the rest
		return nil, err
	}
	if r.ContentLength > o.Limit {
		return fail(ErrTooLarge)
	}
	if o.Idle <= 0 {
		o.Idle = DefaultIdle
	}
	x := &bodyReader{
		source: r.Body, stated: r.ContentLength, options: o, budget: b,
		setDeadline: func(t time.Time) { _ = control.SetReadDeadline(t) }, // as above
		body:        Body{holder: b.Open(interrupt)},
	}
	if o.Stop != nil {
		defer context.AfterFunc(o.Stop, interrupt)()
	}
	if err := x.read(); err != nil {
		x.body.Release()
		return fail(err)
	}
	x.setDeadline(time.Time{})
	return &x.body, nil
}

// Collect reads a body from source, of which no read may block for ever. Its length is
// stated, or -1 if it isn't known. The function interrupt must end a read from source; it is
// called when the body has to give way. The caller must call Release of the result. Errors are
// those of Read and of source.
func (b *Budget) Collect(source io.Reader, stated, limit int64, interrupt func()) (*Body, error) {
	if stated > limit {
		b.countError(ErrTooLarge)
		return nil, ErrTooLarge
	}
	x := &bodyReader{
		source: source, stated: stated, options: Options{Limit: limit, Idle: DefaultIdle}, budget: b,
		setDeadline: func(time.Time) {}, body: Body{holder: b.Open(interrupt)},
	}
	if err := x.read(); err != nil {
		x.body.Release()
		b.countError(err)
		return nil, err
	}
	return &x.body, nil
}

// bodyReader reads one body.
type bodyReader struct {
	source      io.Reader
	stated      int64 // length; -1 if it isn't known
	options     Options
	budget      *Budget
	setDeadline func(time.Time)
	body        Body
	deadlineAt  time.Time // time at which the deadline was set
}

// read reads the body to its end.
func (x *bodyReader) read() error {
	for {
		segment, err := x.nextSegment()
		if err != nil {
			return err
		}
		n, err := x.fill(segment)
		if x.body.length += n; int64(x.body.length) > x.options.Limit {
			return ErrTooLarge
		}
		if n > 0 {
			x.body.segments = append(x.body.segments, segment[:n])
		}
		switch {
		case errors.Is(err, io.EOF), err == nil && int64(x.body.length) == x.stated:
			return x.body.holder.Complete()
		case err != nil:
			return err
		}
	}
}

// nextSegment reserves and allocates the next segment. The segments double the size of the
// body. A full body has one of one byte, which tells whether more follows.
func (x *bodyReader) nextSegment() ([]byte, error) {
	size := min(max(x.body.length, minSegmentBytes), maxSegmentBytes)
	left := x.options.Limit + 1 - int64(x.body.length)
	if x.stated >= 0 {
		left = x.stated - int64(x.body.length)
	}
	size = int(min(int64(size), left))
	if err := x.body.holder.Reserve(size); err != nil {
		return nil, err
	}
	return make([]byte, size), nil
}

// fill reads until b is full or an error occurs.
func (x *bodyReader) fill(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		if err := x.moveDeadline(); err != nil {
			return n, err
		}
		m, err := x.source.Read(b[n:])
		n += m
		if err != nil {
			return n, x.cause(err)
		}
	}
	return n, nil
}

// moveDeadline sets the read deadline, unless that was done a moment ago.
func (x *bodyReader) moveDeadline() error {
	now := x.budget.cfg.Clock.Now()
	if now.Sub(x.deadlineAt) < deadlineInterval {
		return nil
	}
	x.body.holder.Progress()
	wait := x.options.Idle + deadlineInterval
	if !x.options.Deadline.IsZero() {
		wait = min(wait, x.options.Deadline.Sub(now))
	}
	x.deadlineAt = now
	x.setDeadline(time.Now().Add(wait))
	// An interrupt before this has set a deadline that is gone now.
	if x.interrupted() {
		return x.cause(os.ErrDeadlineExceeded)
	}
	return nil
}

func (x *bodyReader) interrupted() bool {
	return x.body.holder.Evicted() || x.options.Stop != nil && x.options.Stop.Err() != nil
}

// cause returns the error of Read for one of the connection.
func (x *bodyReader) cause(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return err
	case x.body.holder.Evicted():
		return ErrNoRoom
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case x.options.Stop != nil && x.options.Stop.Err() != nil:
		return ErrStopped
	default:
		return ErrTimeout
	}
}
