package brdaemon

import "sync"

// mailbox is an unbounded queue from several senders to one receiver. Link
// handlers must not block, and the work behind each message is small, so the
// bound on what can wait is that of the requests themselves.
type mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{}
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{signal: make(chan struct{}, 1)}
}

func (m *mailbox[T]) put(v T) {
	m.mu.Lock()
	m.items = append(m.items, v)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take returns everything that waits, in order. ready receives after a put.
func (m *mailbox[T]) take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

func (m *mailbox[T]) ready() <-chan struct{} { return m.signal }
