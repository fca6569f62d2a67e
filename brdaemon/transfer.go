package brdaemon

import (
	"context"
	"slices"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brpeer"
	"bramleyroute/brwire"
)

// recordTransferTimeout limits each step of a record transfer: the wait for the
// link to an entry, and each call.
const recordTransferTimeout = time.Second

// transferRecords sends the records of this entry to another entry of its
// region. Without the transfer a pool's next owner would have no record of the
// requests that this entry has dispatched and would grant a resend of one of
// them. A daemon that can't transfer its records stays registered, so that
// owners count it as an entry that doesn't report.
func (d *Daemon) transferRecords(ctx context.Context) error {
	var successors []brwire.Daemon
	for _, row := range d.session.currentView().Daemons {
		if row.ID != d.self.ID && row.Region == d.self.Region && slices.Contains(row.Roles, brwire.RoleEntry) {
			successors = append(successors, row)
		}
	}
	slices.SortFunc(successors, func(a, b brwire.Daemon) int {
		if rendezvous(d.self.Incarnation, a.ID) > rendezvous(d.self.Incarnation, b.ID) {
			return -1
		}
		return 1
	})
	batches := d.entry.ExportRecords()
	err := error(brerror.New(brerror.NotOwner, "no other entry of region %s is registered", d.self.Region))
	for _, row := range successors {
		if err = d.transferRecordsTo(ctx, row, batches); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (d *Daemon) transferRecordsTo(ctx context.Context, successor brwire.Daemon, batches []brwire.TransferRecords) error {
	l := d.links.get(successor.PeerAddress)
	if l == nil {
		return brerror.New(brerror.ShuttingDown, "daemon is closed")
	}
	dialCtx, cancel := context.WithTimeout(ctx, recordTransferTimeout)
	c, err := l.Wait(dialCtx) // this call may have started the link
	cancel()
	if err != nil {
		return brerror.New(brerror.NotOwner, "entry %s can't be reached: %w", successor.ID, err)
	}
	for _, p := range batches {
		callCtx, cancel := context.WithTimeout(ctx, recordTransferTimeout)
		_, err := brpeer.Call[brwire.TransferRecords, brwire.EmptyReply](callCtx, c, brwire.NameTransferRecords, p)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) receiveRecords(_ context.Context, _ *brpeer.Conn, m brwire.TransferRecords) (brwire.EmptyReply, error) {
	if d.entry == nil {
		return brwire.EmptyReply{}, brerror.New(brerror.InvalidRequest, "daemon %s doesn't have the role of entry", d.self.ID)
	}
	return brwire.EmptyReply{}, d.entry.ImportRecords(m)
}

// join replies to a pool's new owner with the requests that this entry holds.
// Whether records of a former process are missing is known once this process is
// registered; until then join returns an error and the owner retries.
func (d *Daemon) join(_ context.Context, _ *brpeer.Conn, j brwire.Join) (brwire.JoinReply, error) {
	if d.entry == nil {
		return brwire.JoinReply{}, brerror.New(brerror.InvalidRequest, "daemon %s doesn't have the role of entry", d.self.ID)
	}
	registered := d.session.registered()
	if !registered && !d.draining.Load() {
		return brwire.JoinReply{}, brerror.New(brerror.ConfigurationUnconfirmed, "daemon %s is not registered yet", d.self.ID)
	}
	if row, _ := d.session.currentView().Daemon(d.self.ID); registered && !row.Replaced {
		d.entry.MarkRecordsComplete()
	}
	return d.entry.join(j), nil
}
