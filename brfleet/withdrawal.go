package brfleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"bramleyroute/brgossip"
	"bramleyroute/brplace"
	"bramleyroute/brwire"
)

const (
	// confirmTimeout limits the time in which other daemons confirm a withdrawal. The
	// endpoint is then told to send it again, to this or another daemon.
	confirmTimeout = 900 * time.Millisecond
	// confirmSettleTime is the time for which the other peers are waited for once enough
	// replicas have a withdrawal, so that it also survives the end of all replicas.
	confirmSettleTime = 100 * time.Millisecond
	// confirmInterval is the time between two tries.
	confirmInterval = 50 * time.Millisecond
	// maxWithdrawals is the number of times that a withdrawal is published for a start that
	// another daemon has heard of later.
	maxWithdrawals = 3
)

// ErrUnconfirmed is returned for the announcement of a leaving endpoint that too few other
// daemons have confirmed. It may have taken effect.
var ErrUnconfirmed = errors.New("brfleet: too few daemons have confirmed that the endpoint leaves")

// Withdraw marks the endpoint as leaving and publishes that to all daemons. It returns nil once
// the withdrawal survives the loss of this daemon, and of as many replicas as Config.Tolerance
// allows. It returns an error that wraps ErrInvalid if no endpoint can have the ID, ErrIsolated
// if no other daemon can be reached, and ErrUnconfirmed if too few have confirmed in time.
func (f *Fleet) Withdraw(ctx context.Context, id string) error {
	if err := (Announcement{Endpoint: brplace.Endpoint{ID: id}}).checkIdentity(); err != nil {
		return err
	}
	if f.isolated() {
		return ErrIsolated
	}
	// Another daemon may know a later start of the endpoint, or any, which is to be withdrawn.
	for range maxWithdrawals {
		a, err := f.withdrawal(id)
		if err != nil {
			return err
		}
		f.publishEndpoint(a)
		if err := f.confirmLeaving(ctx, a); err != nil {
			return err
		}
		if r, ok := f.node.Get(kindEndpoint + "/" + id); !ok || r.Version.Epoch == a.Born {
			return nil
		}
	}
	return ErrUnconfirmed
}

// withdrawal returns the announcement that withdraws the newest known start of an endpoint.
func (f *Fleet) withdrawal(id string) (Announcement, error) {
	a := Announcement{Endpoint: brplace.Endpoint{ID: id}}
	if r, ok := f.node.Get(kindEndpoint + "/" + id); ok {
		last, err := brwire.Decode[Announcement](r.Value)
		if err != nil {
			return a, fmt.Errorf("brfleet: record of endpoint %s: %w", id, err)
		}
		a = last
	}
	a.Endpoint.Leaving, a.Sequence = true, withdrawnSequence
	return a, nil
}

// confirmLeaving waits until the announcement of a leaving endpoint, which was published,
// survives the loss of this daemon and of Config.Tolerance replicas.
func (f *Fleet) confirmLeaving(ctx context.Context, a Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	h := holders{}
	f.addHolders(ctx, &h, a.Endpoint.ID)
	for !h.enough() && ctx.Err() == nil {
		select { // links may open meanwhile, above all after the start of a daemon
		case <-f.cfg.Clock.After(confirmInterval):
		case <-ctx.Done():
		}
		f.addHolders(ctx, &h, a.Endpoint.ID)
	}
	if !h.enough() {
		f.cfg.Log.Warn().Str("endpoint", a.Endpoint.ID).Uint64("born", a.Born).Int("replicas", h.count()).Int("required", h.required).
			Int("daemons", len(h.others)).Msg("too few daemons have confirmed that an endpoint leaves")
		return ErrUnconfirmed
	}
	f.cfg.Log.Info().Str("endpoint", a.Endpoint.ID).Uint64("born", a.Born).Int("replicas", h.count()).Int("daemons", len(h.others)).
		Msg("other daemons have confirmed that an endpoint leaves")
	return nil
}

// addHolders asks the peers to confirm the record of an endpoint and adds those that do to h. It
// returns when all have, when enough have and confirmSettleTime has passed, or when ctx ends.
func (f *Fleet) addHolders(ctx context.Context, h *holders, endpoint string) {
	daemons := f.node.Daemons()
	h.self, h.required, h.alone = f.cfg.Dir != "", f.cfg.Tolerance+1, !f.knowsOthers(daemons)
	h.recount(daemons) // a daemon that confirmed before may have become known meanwhile
	confirmations := f.node.Confirm(ctx, kindEndpoint+"/"+endpoint)
	var settled <-chan time.Time
	for {
		if h.enough() && settled == nil {
			settled = f.cfg.Clock.After(confirmSettleTime)
		}
		select {
		case address, open := <-confirmations:
			if !open {
				return
			}
			if !slices.Contains(h.others, address) {
				h.others = append(h.others, address)
			}
			h.recount(daemons)
		case <-settled:
			return
		}
	}
}

// knowsOthers reports whether there are other daemons: one is known, or a seed that isn't this
// daemon is to be found.
func (f *Fleet) knowsOthers(daemons []brgossip.Daemon) bool {
	return len(daemons) > 1 || slices.ContainsFunc(f.cfg.Seeds(), func(address string) bool { return address != f.cfg.Address })
}

// holders are the daemons that have an announcement.
type holders struct {
	required int      // number of replicas
	self     bool     // this daemon has a replica
	alone    bool     // there are no other daemons
	replicas int      // other replicas
	others   []string // addresses of the other daemons
}

// recount counts the replicas among the others.
func (h *holders) recount(daemons []brgossip.Daemon) {
	h.replicas = 0
	for _, d := range daemons {
		if d.Replica && slices.Contains(h.others, d.Address) {
			h.replicas++
		}
	}
}

// count returns the number of replicas that have the announcement.
func (h *holders) count() int {
	if h.self {
		return h.replicas + 1
	}
	return h.replicas
}

// enough reports whether the announcement survives the losses that it has to.
func (h *holders) enough() bool {
	return h.count() >= h.required && (h.alone || len(h.others) > 0)
}

// startSet is a set of starts of endpoints, at most one for each endpoint. It is safe for
// concurrent use.
type startSet struct {
	mu   sync.Mutex
	born map[string]uint64
}

func (s *startSet) has(id string, born uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.born[id]
	return ok && b == born
}

func (s *startSet) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.born, id)
}

func (s *startSet) add(id string, born uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.born == nil || len(s.born) >= maxWithdrawn {
		s.born = map[string]uint64{}
	}
	s.born[id] = born
}
