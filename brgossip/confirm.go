package brgossip

import (
	"context"
	"errors"
	"sync"

	"bramleyroute/brerror"
	"bramleyroute/brpeer"
)

const callConfirm = "gossip_confirm"

type confirmRequest struct {
	Key string `cbor:"key"`
}

// confirmReply has the newest record of the key, unless the daemon has none.
type confirmReply struct {
	Records []Record `cbor:"records,omitempty"`
}

// Confirm sends the newest version of a record to all peers at once, and returns a channel of
// the addresses of those that have received it, which is closed when all have, or when ctx
// ends. A newer version that a peer has is merged before its address is sent.
//
// A peer handles the messages of a connection in order, so that any reply to a call proves that
// it has merged the record before, also that of a build that doesn't know the call.
func (n *Node) Confirm(ctx context.Context, key string) <-chan string {
	n.mu.Lock()
	defer n.mu.Unlock()
	confirmed := make(chan string, len(n.peers))
	r, ok := n.store.Get(n.cfg.Clock.Now(), key)
	if !ok || n.closed {
		close(confirmed)
		return confirmed
	}
	body := encode(batch{Records: []Record{r}})
	var calls sync.WaitGroup
	for c, p := range n.peers {
		p.removePending(key)
		calls.Go(func() {
			if n.confirm(ctx, c, key, body) {
				confirmed <- p.address
			}
		})
	}
	n.wg.Go(func() {
		calls.Wait()
		close(confirmed)
	})
	return confirmed
}

// confirm sends the encoded record of key over c and reports whether the peer has merged it.
func (n *Node) confirm(ctx context.Context, c *brpeer.Conn, key string, body []byte) bool {
	if brpeer.PushEncoded(c, pushRecord, body) != nil {
		return false // the peer receives all records when it reconnects
	}
	reply, err := brpeer.Call[confirmRequest, confirmReply](ctx, c, callConfirm, confirmRequest{key})
	for _, r := range reply.Records {
		n.merge(r, c)
	}
	var answered *brerror.Error
	return err == nil || errors.As(err, &answered)
}

// handleConfirm returns the newest record of a key.
func (n *Node) handleConfirm(_ context.Context, _ *brpeer.Conn, q confirmRequest) (confirmReply, error) {
	r, ok := n.Get(q.Key)
	if !ok {
		return confirmReply{}, nil
	}
	return confirmReply{[]Record{r}}, nil
}
