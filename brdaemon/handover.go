package brdaemon

import (
	"context"
	"slices"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brpeer"
	"bramleyroute/brwire"
)

// inheritTimeout bounds the attempt to hand the records to one entry.
const inheritTimeout = time.Second

// handRecords gives the records of this entry to another one. Without it a
// pool's next owner would not hear of the requests that this entry has
// dispatched and would grant a resend of one of them. A daemon that can't hand
// them over stays registered, so that owners count it as one that doesn't
// report.
func (d *Daemon) handRecords(ctx context.Context) error {
	var successors []brwire.Daemon
	for _, row := range d.session.present().Daemons {
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
	parts := d.entry.Leave()
	err := error(brerror.New(brerror.NotOwner, "no other entry of region %s is registered", d.self.Region))
	for _, row := range successors {
		if err = d.handTo(ctx, row, parts); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (d *Daemon) handTo(ctx context.Context, successor brwire.Daemon, parts []brwire.TransferRecords) error {
	l := d.links.get(successor.PeerAddress)
	if l == nil {
		return brerror.New(brerror.ShuttingDown, "daemon is closed")
	}
	wait, cancel := context.WithTimeout(ctx, inheritTimeout)
	c, err := l.Wait(wait) // it may be dialled only now
	cancel()
	if err != nil {
		return brerror.New(brerror.NotOwner, "entry %s can't be reached: %w", successor.ID, err)
	}
	for _, p := range parts {
		try, cancel := context.WithTimeout(ctx, inheritTimeout)
		_, err := brpeer.Call[brwire.TransferRecords, brwire.EmptyReply](try, c, brwire.NameTransferRecords, p)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) inherit(_ context.Context, _ *brpeer.Conn, m brwire.TransferRecords) (brwire.EmptyReply, error) {
	if d.entry == nil {
		return brwire.EmptyReply{}, brerror.New(brerror.InvalidRequest, "daemon %s is no entry", d.self.ID)
	}
	return brwire.EmptyReply{}, d.entry.Inherit(m)
}

// join tells a pool's new owner what this entry holds. Whether records of a
// former process are missing is known once this process is registered; until
// then the owner asks again.
func (d *Daemon) join(_ context.Context, _ *brpeer.Conn, j brwire.Join) (brwire.JoinReply, error) {
	if d.entry == nil {
		return brwire.JoinReply{}, brerror.New(brerror.InvalidRequest, "daemon %s is no entry", d.self.ID)
	}
	registered := d.session.registered()
	if !registered && !d.draining.Load() {
		return brwire.JoinReply{}, brerror.New(brerror.ConfigurationUnconfirmed, "daemon %s is not registered yet", d.self.ID)
	}
	if row, _ := d.session.present().Daemon(d.self.ID); registered && !row.Replaced {
		d.entry.Continue()
	}
	return d.entry.join(j), nil
}
