package brdaemon

import (
	"context"

	"bramleyroute/broperator"
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

const nameHistory = "history"

// history lists the configuration changes that this replica has kept, oldest
// first. A replica that was restored from a snapshot knows only later ones.
func (c *control) history(context.Context, *brpeer.Conn, brwire.EmptyReply) ([]broperator.HistoryEntry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]broperator.HistoryEntry{}, c.accepted...), nil
}

// noteAccepted keeps an accepted configuration change for the operators. The
// caller holds the lock.
func (c *control) noteAccepted(index uint64, data []byte, result brwire.RawMessage) {
	cmd, err := brwire.Decode[brstate.Command](data)
	if err != nil {
		return
	}
	put, err := brwire.Decode[brstate.PutResult](result)
	if err != nil {
		return
	}
	c.accepted = append(c.accepted, broperator.HistoryEntry{Revision: index, At: cmd.At, CommandID: cmd.ID, Diff: put.Lines})
	if len(c.accepted) > maxAccepted {
		c.accepted = c.accepted[1:]
	}
}

// maxAccepted bounds the kept entries to about six hours at the target's 4,200
// changes a day.
const maxAccepted = 1000
