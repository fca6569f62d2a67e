package brdaemon

import (
	"context"

	"bramleyroute/broperator"
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
)

const nameHistory = "history"

// history returns the recorded configuration changes, oldest first. A replica
// that was restored from a snapshot has only the later ones.
func (c *control) history(context.Context, *brpeer.Conn, brwire.EmptyReply) ([]broperator.HistoryEntry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]broperator.HistoryEntry{}, c.acceptedChanges...), nil
}

// recordAccepted adds an accepted configuration change to the history. The
// caller holds c.mu.
func (c *control) recordAccepted(index uint64, data []byte, result brwire.RawMessage) {
	cmd, err := brwire.Decode[brstate.Command](data)
	if err != nil {
		return
	}
	put, err := brwire.Decode[brstate.PutResult](result)
	if err != nil {
		return
	}
	c.acceptedChanges = append(c.acceptedChanges, broperator.HistoryEntry{Revision: index, At: cmd.At, CommandID: cmd.ID, Diff: put.Lines})
	if len(c.acceptedChanges) > maxAcceptedChanges {
		c.acceptedChanges = c.acceptedChanges[1:]
	}
}

// maxAcceptedChanges limits the history to about six hours at the target rate
// of 4,200 changes a day.
const maxAcceptedChanges = 1000
