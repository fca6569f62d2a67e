package brdaemon

import (
	"context"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brlease"
	"bramleyroute/brmember"
	"bramleyroute/brpeer"
	"bramleyroute/brstate"
	"bramleyroute/brwire"
	"github.com/google/uuid"
)

// propose sends a command until a replica replies. It sets the command ID if
// that is empty; a resend through another replica gets the reply to the first
// one.
func (s *session) propose(ctx context.Context, cmd brstate.Command) (brwire.ProposeReply, error) {
	if cmd.ID == "" {
		cmd.ID = uuid.NewString()
	}
	data, err := cmd.Encode()
	if err != nil {
		return brwire.ProposeReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	p := brwire.Propose{CommandID: cmd.ID, Command: data}
	firstIndex := s.currentReplicaIndex()
	for attempt := 0; ; attempt++ {
		reply, err := s.proposeTo(ctx, s.replicas[(firstIndex+attempt)%len(s.replicas)], p)
		if err == nil {
			if reply.Error != nil {
				return reply, reply.Error
			}
			return reply, nil
		}
		if k := brerror.From(err).Kind; k != brerror.Internal && k != brerror.NotLeader && k != brerror.NoQuorum {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, brerror.New(brerror.NoQuorum, "no reply to command %s: %w", cmd.ID, err)
		case <-s.ctx.Done():
			return reply, brerror.New(brerror.ShuttingDown, "daemon is stopping")
		case <-s.clock.After(proposeRetryInterval):
		}
	}
}

// proposeRetryInterval is the time between two attempts to send a command.
const proposeRetryInterval = 50 * time.Millisecond

func (s *session) currentReplicaIndex() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicaIndex
}

func (s *session) proposeTo(ctx context.Context, address string, p brwire.Propose) (brwire.ProposeReply, error) {
	c := s.links.conn(address)
	if c == nil {
		return brwire.ProposeReply{}, brerror.New(brerror.NotLeader, "no connection to control replica %s", address)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeAttemptTimeout)
	defer cancel()
	return brpeer.Call[brwire.Propose, brwire.ProposeReply](ctx, c, brwire.NamePropose, p)
}

// acquire acquires a lease for a duration and records that this daemon holds
// it. renew and release update this record too.
func (s *session) acquire(ctx context.Context, name string, d time.Duration) (brlease.Lease, error) {
	sent := s.clock.Now()
	l, err := s.lease(ctx, brstate.Command{AcquireLease: &brlease.Acquire{Name: name, Holder: s.self.ID, Duration: d}})
	if err == nil {
		s.step(brmember.LeaseGranted{Lease: l, Sent: sent})
	}
	return l, err
}

func (s *session) renew(ctx context.Context, name string, epoch uint64) error {
	sent := s.clock.Now()
	l, err := s.lease(ctx, brstate.Command{RenewLease: &brlease.Renew{Name: name, Holder: s.self.ID, Epoch: epoch}})
	switch {
	case err == nil:
		s.step(brmember.LeaseRenewed{Lease: l, Sent: sent})
	case brerror.Is(err, brerror.NotOwner):
		s.step(brmember.LeaseEnded{Name: name})
	}
	return err
}

func (s *session) release(ctx context.Context, name string, epoch uint64) error {
	s.step(brmember.LeaseEnded{Name: name})
	_, err := s.propose(ctx, brstate.Command{ReleaseLease: &brlease.Release{Name: name, Holder: s.self.ID, Epoch: epoch}})
	return err
}

func (s *session) lease(ctx context.Context, cmd brstate.Command) (brlease.Lease, error) {
	reply, err := s.propose(ctx, cmd)
	if err != nil {
		return brlease.Lease{}, err
	}
	return brwire.Decode[brlease.Lease](reply.Result)
}
