package brdaemon

import "sync"

// mailbox is an unbounded queue from several senders to one receiver. Link
// handlers must not block. The work for each message is small, so the limits on
// requests also limit the number of queued messages.
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

// takeAll removes and returns all queued items in order. The channel of ready
// receives a value after a put.
func (m *mailbox[T]) takeAll() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

func (m *mailbox[T]) ready() <-chan struct{} { return m.signal }
