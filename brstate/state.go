package brstate

import (
	"fmt"
	"slices"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brlease"
	"bramleyroute/brledger"
	"bramleyroute/brwire"
)

// MaxDaemons is the maximum number of registered daemons.
const MaxDaemons = 10_000

// State is the state of the control group. Use New to create one. It is not safe for
// concurrent use, but the values returned by its methods are.
type State struct {
	index    uint64
	now      time.Time // latest stamped time
	view     View
	leases   *brlease.Table
	ledger   *brledger.Ledger
	orders   orders
	results  results
	history  History
	progress map[string][]byte // by rollout ID

	// skipRevisionCheck disables the comparison with the expected revision, so that
	// a test can show that the linearizability check detects its absence.
	skipRevisionCheck bool
}

// New returns an empty state with the default limits of the ledger.
func New() *State {
	return &State{leases: brlease.NewTable(nil), ledger: brledger.New(brledger.DefaultLimits, nil)}
}

// Apply applies the log entry at index. It returns the reply to the command and the
// change of the view, or nil if the view is unchanged. A command that fails or can't
// be decoded changes neither the view nor the tables and gets a reply with an error;
// for a revision conflict, the reply has the current revision. Apply panics if index
// is not larger than that of the previous entry, since the state would then diverge
// from that of the other replicas.
func (s *State) Apply(index uint64, data []byte) (brwire.ProposeReply, *Change) {
	if index <= s.index {
		panic(fmt.Sprintf("brstate: entry %d applied after entry %d", index, s.index))
	}
	s.index = index
	c, err := brwire.Decode[Command](data)
	if err != nil {
		return s.errorReply(brerror.New(brerror.InvalidRequest, "decode command: %w", err)), nil
	}
	if at := c.At.UTC(); at.After(s.now) && at.Year() <= 9998 {
		s.now = at
	}
	s.ledger.Expire(s.now)
	s.results.expire(s.now)
	s.orders.expire(s.now)
	if err := checkIDs("id", c.ID); err != nil {
		return s.errorReply(err), nil
	}
	if r, ok := s.results.get(c.ID); ok {
		return r, nil
	}
	if _, err := c.Kind(); err != nil {
		return s.errorReply(err), nil
	}
	reply, change := s.dispatch(c)
	if change != nil {
		change.Revision, change.Previous = index, s.view.Revision
		s.view = s.view.With(*change)
		s.history.Add(*change)
		reply.Revision = index
	}
	s.results.add(c, s.now, reply)
	return reply, change
}

// Index returns the index of the last entry that was applied.
func (s *State) Index() uint64 { return s.index }

// Now returns the latest time stamped on a command.
func (s *State) Now() time.Time { return s.now }

// View returns the current view.
func (s *State) View() View { return s.view }

// ChangesAfter returns the changes after the view of the given revision. It returns
// false if they are no longer available, in which case the watcher needs the whole
// view.
func (s *State) ChangesAfter(revision uint64) ([]Change, bool) {
	if revision == s.view.Revision {
		return nil, true
	}
	return s.history.After(revision)
}

// Leases returns all leases, sorted by name.
func (s *State) Leases() []brlease.Lease { return s.leases.List() }

// Lease returns the row of a lease and reports whether it exists. The leader passes
// the row to its timers after each acquisition, renewal and release.
func (s *State) Lease(name string) (brlease.Lease, bool) { return s.leases.Get(name) }

// Request returns the ledger record of a request and reports whether it exists.
func (s *State) Request(id string) (brledger.Record, bool) { return s.ledger.Get(id) }

// Order returns the order with the given ID and reports whether it exists.
func (s *State) Order(id string) (Order, bool) { return s.orders.get(id) }

// OpenOrders returns the orders without a result, in the sequence in which they were
// placed.
func (s *State) OpenOrders() []Order { return s.orders.unfinished() }

func (s *State) dispatch(c Command) (brwire.ProposeReply, *Change) {
	switch {
	case c.PutConfiguration != nil:
		return s.putConfiguration(*c.PutConfiguration)
	case c.RegisterDaemon != nil:
		return s.registerDaemon(c.RegisterDaemon.Daemon)
	case c.DeregisterDaemon != nil:
		return s.deregisterDaemon(*c.DeregisterDaemon)
	case c.AcquireLease != nil:
		l, err := s.leases.Acquire(*c.AcquireLease)
		return s.leaseReply(l, err, true)
	case c.RenewLease != nil:
		l, err := s.leases.Renew(*c.RenewLease)
		return s.leaseReply(l, err, false)
	case c.ReleaseLease != nil:
		l, err := s.leases.Release(*c.ReleaseLease)
		return s.leaseReply(l, err, true)
	case c.BeginRequest != nil:
		return s.beginRequest(*c.BeginRequest), nil
	case c.FinishRequest != nil:
		_, err := s.ledger.Finish(*c.FinishRequest)
		return s.reply(struct{}{}, err), nil
	case c.ReleaseRequest != nil:
		return s.reply(struct{}{}, s.ledger.Release(*c.ReleaseRequest)), nil
	case c.StartRollout != nil:
		r, err := s.startRollout(*c.StartRollout)
		return s.rolloutReply(r, err)
	case c.UpdateRollout != nil:
		r, err := s.updateRollout(*c.UpdateRollout)
		return s.rolloutReply(r, err)
	case c.FinishRollout != nil:
		r, err := s.finishRollout(*c.FinishRollout)
		return s.rolloutReply(r, err)
	case c.PlaceOrder != nil:
		o, err := s.placeOrder(*c.PlaceOrder)
		return s.reply(o, err), nil
	case c.FinishOrder != nil:
		o, err := s.orders.finish(*c.FinishOrder, s.now)
		return s.reply(o, err), nil
	case c.SaveProgress != nil:
		return s.reply(struct{}{}, s.saveProgress(*c.SaveProgress)), nil
	case c.ChangeEvacuation != nil:
		return s.changeEvacuation(*c.ChangeEvacuation)
	}
	panic("brstate: command without a body") // excluded by Kind
}

func (s *State) putConfiguration(c PutConfiguration) (brwire.ProposeReply, *Change) {
	current := s.view.ConfigurationRevision
	if c.Expected != current && !s.skipRevisionCheck {
		r := s.errorReply(brerror.New(brerror.RevisionConflict, "configuration has revision %d, expected %d", current, c.Expected))
		r.Revision = current
		return r, nil
	}
	if (c.Change == nil) == (c.Document == nil) {
		return s.errorReply(brerror.New(brerror.InvalidRequest, "one of change and document must be given")), nil
	}
	// A whole document is checked as sent, before normalization: the problems then
	// have the paths of the operator's document, and duplicates are reported rather
	// than merged.
	next := brconfig.Document{}
	if c.Document != nil {
		next = *c.Document
	} else {
		next = s.view.Configuration.With(*c.Change)
	}
	if ps := brconfig.Check(next); len(ps) > 0 {
		r := s.reply(PutResult{Problems: ps}, nil)
		r.Error = brerror.New(brerror.InvalidRequest, "configuration has %d problems, first %s", len(ps), ps[0].Message).WithField(ps[0].Path)
		r.Revision = current
		return r, nil
	}
	diff := brconfig.Diff(s.view.Configuration, next.Normalized())
	change := &Change{Configuration: &diff, Revision: s.index, Previous: s.view.Revision}
	after := s.view.With(*change)
	change.Rollouts = s.updateMoveRollouts(after)
	return s.reply(PutResult{Lines: diff.Lines(s.view.Configuration)}, nil), change
}

func (s *State) registerDaemon(d brwire.Daemon) (brwire.ProposeReply, *Change) {
	if err := checkIDs("daemon.id", d.ID); err != nil {
		return s.errorReply(err), nil
	}
	old, ok := s.view.Daemon(d.ID)
	if !ok && len(s.view.Daemons) >= MaxDaemons {
		return s.errorReply(brerror.New(brerror.Overloaded, "%d daemons are registered", MaxDaemons)), nil
	}
	if ok && sameDaemon(old, d) {
		return s.reply(struct{}{}, nil), nil
	}
	d.Replaced = ok && (old.Replaced || old.Incarnation != d.Incarnation)
	return s.reply(struct{}{}, nil), &Change{Daemons: []brwire.Daemon{d}}
}

func (s *State) deregisterDaemon(c DeregisterDaemon) (brwire.ProposeReply, *Change) {
	d, ok := s.view.Daemon(c.DaemonID)
	if !ok {
		return s.reply(struct{}{}, nil), nil
	}
	if c.Incarnation != "" && c.Incarnation != d.Incarnation {
		return s.errorReply(brerror.New(brerror.RevisionConflict, "daemon %s was started again", d.ID)), nil
	}
	return s.reply(struct{}{}, nil), &Change{RemovedDaemons: []string{d.ID}}
}

// leaseReply returns the reply with l or err. If the owner of a pool changed, it also
// returns the change of the view.
func (s *State) leaseReply(l brlease.Lease, err error, ownerChanged bool) (brwire.ProposeReply, *Change) {
	r := s.reply(l, err)
	if err != nil || !ownerChanged {
		return r, nil
	}
	owners := ownerChange(l)
	if owners == nil {
		return r, nil
	}
	return r, &Change{Owners: owners}
}

func (s *State) beginRequest(c brledger.Begin) brwire.ProposeReply {
	rec, begun, err := s.ledger.Begin(s.now, c)
	if _, ok := s.view.Daemon(rec.Entry); brerror.Is(err, brerror.InProgress) && !ok {
		// The entry was deregistered, so it will not finish the record.
		err = brerror.New(brerror.UnknownOutcome, "request may have run: its entry %s is no longer registered", rec.Entry).WithEarlierRequest(rec.Entry, rec.Endpoint)
	}
	return s.reply(BeginResult{Begun: begun, Record: rec}, err)
}

func (s *State) rolloutReply(r Rollout, err error) (brwire.ProposeReply, *Change) {
	reply := s.reply(r, err)
	if err != nil {
		if brerror.Is(err, brerror.RevisionConflict) {
			reply.Revision = r.Revision
		}
		return reply, nil
	}
	change := &Change{Rollouts: []Rollout{r}, Revision: s.index, Previous: s.view.Revision}
	if !r.Active() {
		after := s.view.With(*change)
		change.Rollouts = append(change.Rollouts, s.updateMoveRollouts(after)...)
		change.RemovedRollouts = removableRollouts(after)
	}
	return reply, change
}

// reply returns a reply with the encoded result, or with err if it is not nil, and
// the current revision. Apply replaces the revision if the view changes.
func (s *State) reply(result any, err error) brwire.ProposeReply {
	if err != nil {
		return s.errorReply(err)
	}
	b, err := brwire.Encode(result)
	if err != nil {
		panic("brstate: encode result: " + err.Error()) // all result types can be encoded
	}
	return brwire.ProposeReply{Revision: s.view.Revision, Result: b}
}

func (s *State) errorReply(err error) brwire.ProposeReply {
	return brwire.ProposeReply{Revision: s.view.Revision, Error: brerror.From(err)}
}

func sameDaemon(a, b brwire.Daemon) bool {
	ra, rb := a.Roles, b.Roles
	a.Roles, b.Roles = nil, nil
	return slices.Equal(ra, rb) && a.ID == b.ID && a.Incarnation == b.Incarnation && a.PeerAddress == b.PeerAddress &&
		a.CallerAddress == b.CallerAddress && a.Region == b.Region && a.FailureDomain == b.FailureDomain
}
