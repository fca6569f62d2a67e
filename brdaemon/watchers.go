package brdaemon

import (
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

// broadcast sends a change to the watchers whose view precedes it and brings
// the other watchers up to date. The change is encoded once for all watchers.
func (c *control) broadcast(ch brstate.Change) {
	if len(c.watchers) == 0 {
		return
	}
	body, err := brwire.Encode(ViewUpdate{Changes: []brstate.Change{ch}})
	if err != nil {
		panic("brdaemon: encode change: " + err.Error())
	}
	for w, revision := range c.watchers {
		if revision != ch.Previous {
			c.catchUp(w, revision)
			continue
		}
		c.watchers[w] = ch.Revision
		if brpeer.PushEncoded(w, brwire.NameChange, body) != nil {
			delete(c.watchers, w)
		}
	}
}

// watch starts or restarts the updates of a watcher from the revision that it
// has.
func (c *control) watch(conn *brpeer.Conn, w brwire.Watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.watchers[conn]; !ok {
		c.wg.Go(func() { c.removeOnDisconnect(conn) })
	}
	c.catchUp(conn, w.From)
}

// removeOnDisconnect removes a watcher when its connection ends.
func (c *control) removeOnDisconnect(conn *brpeer.Conn) {
	select {
	case <-conn.Done():
	case <-c.ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.watchers, conn)
}

func (c *control) catchUp(w *brpeer.Conn, from uint64) {
	u := updateAfter(c.state, from)
	c.watchers[w] = c.state.View().Revision
	if brpeer.Push(w, brwire.NameChange, u) != nil {
		delete(c.watchers, w)
	}
}

func (c *control) sendView(w *brpeer.Conn) {
	v := c.state.View()
	c.watchers[w] = v.Revision
	if brpeer.Push(w, brwire.NameChange, ViewUpdate{View: &v}) != nil {
		delete(c.watchers, w)
	}
}

// updateAfter returns the changes after a revision. It returns the whole view
// if the watcher has none yet or the state no longer holds all of the changes.
func updateAfter(s *brstate.State, from uint64) ViewUpdate {
	if from > 0 {
		if changes, ok := s.ChangesAfter(from); ok {
			return ViewUpdate{Changes: changes}
		}
	}
	v := s.View()
	return ViewUpdate{View: &v}
}
