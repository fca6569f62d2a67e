package brdaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brclock"
	"bramleyroute/brconfig"
	"bramleyroute/brerror"
	"bramleyroute/brmember"
	"bramleyroute/brpeer"
	"bramleyroute/brsetting"
	"bramleyroute/brstate"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
)

const (
	// maxClockAhead bounds how far a peer's stamp may be ahead of this VM's
	// clock before the timeline ignores it.
	maxClockAhead = time.Minute
	// httpCloseTimeout bounds the wait for HTTP requests when the daemon is
	// closed without or after a drain.
	httpCloseTimeout = time.Second
	// leaveTimeout bounds the deregistration of a stopping daemon.
	leaveTimeout = 3 * time.Second
)

// Options are what a daemon is started with beside its settings.
type Options struct {
	Clock brclock.Clock // nil means the system's
	Log   zerolog.Logger
	// Fatal is told of an error after which the process must end, such as a
	// failed sync.
	Fatal func(error)
	// Listeners replace those of the settings' addresses where not nil.
	CallerListener, PeerListener, OperatorListener net.Listener
}

// Daemon is one running bramleyroute process, or one of several in a process for
// tests and the demonstration.
type Daemon struct {
	settings      brsetting.Settings
	clock         brclock.Clock
	log           zerolog.Logger
	fatal         func(error)
	keys          brpeer.Keys
	self          brwire.Daemon
	leaseDuration time.Duration
	recorder      *brtimeline.Recorder

	links   *links
	session *session
	peers   *brpeer.Server
	servers []*http.Server

	entry     *entry     // nil without the role
	scheduler *scheduler // nil without the role
	control   *control   // nil without the role

	metrics    *metrics
	stamps     stamps
	drainAsked chan struct{}
	draining   atomic.Bool
	mu         sync.Mutex
	entries    map[string]*brpeer.Conn // open connections of entries, by daemon id
	wg         sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// Start starts a daemon. The settings must have passed their check.
func Start(s brsetting.Settings, o Options) (*Daemon, error) {
	if o.Clock == nil {
		o.Clock = brclock.System{}
	}
	if o.Fatal == nil {
		panic("brdaemon: options without Fatal")
	}
	d := &Daemon{
		settings: s, clock: o.Clock, fatal: o.Fatal, keys: brpeer.Keys(s.PeerKeys), leaseDuration: s.LeaseDuration,
		log: o.Log.With().Str("daemon", s.DaemonID).Logger(), entries: map[string]*brpeer.Conn{},
		drainAsked: make(chan struct{}, 1),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	lis, err := d.listen(o)
	if err != nil {
		return nil, err
	}
	d.self = brwire.Daemon{
		ID: s.DaemonID, Incarnation: uuid.NewString(), Roles: s.Roles, Region: s.Region, FailureDomain: s.FailureDomain,
	}
	d.self.PeerAddress = advertisedAddress(s.AdvertisedPeerAddress, lis.peer)
	d.self.CallerAddress = callerAddress(d.self.PeerAddress, lis.caller)
	recorder, err := brtimeline.NewRecorder(brtimeline.Options{
		Process: s.DaemonID, Clock: brtimeline.NewClock(o.Clock, maxClockAhead), Size: s.TimelineEvents, Dir: s.DataDir,
		OnError: func(err error) { d.log.Error().Err(err).Msg("timeline file can't be written") },
	})
	if err != nil {
		lis.close()
		return nil, fmt.Errorf("brdaemon: timeline: %w", err)
	}
	d.recorder = recorder
	if err := d.startRoles(lis); err != nil {
		lis.close()
		return nil, err
	}
	d.record(brtimeline.Event{Kind: brtimeline.ProcessStarted})
	return d, nil
}

func (d *Daemon) startRoles(lis listeners) error {
	mux := &brpeer.Mux{}
	d.stampMessages(mux)
	d.links = newLinks(d.keys, mux, d.connected)
	d.session = newSession(d.clock, d.log, d.self, d.links, d.replicaAddresses())
	d.session.onView, d.session.onStand = d.viewChanged, d.standingChanged
	d.session.onLeases, d.session.onExtends = d.leasesEnded, d.leasesExtended
	if d.has(brwire.RoleControl) {
		c, err := startControl(d)
		if err != nil {
			return err
		}
		d.control = c
		c.replica.Register(mux)
	}
	if d.has(brwire.RoleScheduler) {
		d.scheduler = newScheduler(d)
	}
	if d.has(brwire.RoleEntry) {
		d.entry = newEntry(d)
	}
	d.register(mux)
	d.registerOperator(mux)
	d.registerTimeline(mux)
	d.metrics = newMetrics(d)
	d.wg.Go(d.metrics.run)
	d.peers = &brpeer.Server{Mux: mux, Keys: d.keys}
	d.serve(lis)
	d.session.start()
	if d.entry != nil {
		d.wg.Go(d.entry.tendBindings)
	}
	return nil
}

// Self describes the daemon with the addresses that it really listens on.
func (d *Daemon) Self() brwire.Daemon { return d.self }

// Recorder returns the daemon's timeline.
func (d *Daemon) Recorder() *brtimeline.Recorder { return d.recorder }

// Ready returns nil while the daemon takes new work.
func (d *Daemon) Ready() error { return d.ready() }

func (d *Daemon) ready() error {
	if d.draining.Load() {
		return brerror.New(brerror.ShuttingDown, "daemon is stopping").WithRetryAfter(unconfirmedRetry)
	}
	if !d.session.takesWork() {
		st, age := d.session.standing()
		return brerror.New(brerror.ConfigurationUnconfirmed, "daemon is %v; last confirmation or start %v ago", st, age.Round(time.Millisecond)).WithRetryAfter(unconfirmedRetry)
	}
	// A pool's next owner asks only the registered entries what they dispatched.
	if !d.session.registered() {
		return brerror.New(brerror.ConfigurationUnconfirmed, "daemon is not registered yet").WithRetryAfter(unconfirmedRetry)
	}
	return nil
}

// Drain stops the daemon gracefully: it is not ready from now on, gives pools
// and leadership away, finishes every request in progress, and leaves the
// register. It returns ctx's error when that ends first.
func (d *Daemon) Drain(ctx context.Context) error {
	if !d.draining.CompareAndSwap(false, true) {
		return nil
	}
	d.record(brtimeline.Event{Kind: brtimeline.ShutdownBegun})
	d.log.Info().Msg("graceful shutdown begun")
	var err error
	if d.scheduler != nil {
		hand, cancel := context.WithTimeout(ctx, handOverTimeout)
		d.scheduler.handOver(hand)
		cancel()
	}
	if d.entry != nil {
		err = d.entry.Drain(ctx)
	}
	if d.control != nil {
		move, cancel := context.WithTimeout(ctx, leaveTimeout)
		if e := d.control.replica.TransferLeadership(move); e != nil {
			d.log.Debug().Err(e).Msg("leadership was not handed over")
		}
		cancel()
	}
	d.leave(ctx, err)
	d.record(brtimeline.Event{Kind: brtimeline.ShutdownEnded})
	return err
}

// handOverTimeout bounds the wait for entries to start or return their grants;
// the grant window is 0.5 s.
const handOverTimeout = 2 * time.Second

// leave takes the daemon off the register, so that a planned stop isn't counted
// as a lost daemon. After requests were cut off, or when the records of the entry
// can't be handed over, it is one.
func (d *Daemon) leave(ctx context.Context, drained error) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	cmd := brstate.Command{DeregisterDaemon: &brstate.DeregisterDaemon{DaemonID: d.self.ID, Incarnation: d.self.Incarnation}}
	d.session.stopBeats()
	if c := d.links.conn(d.session.replica()); c != nil {
		_, _ = brpeer.Call[brwire.Heartbeat, brwire.HeartbeatReply](ctx, c, brwire.NameHeartbeat, brwire.Heartbeat{Daemon: d.self, Leaving: true})
	}
	if d.entry != nil && drained == nil {
		drained = d.handRecords(ctx)
	}
	if drained != nil {
		d.log.Warn().Err(drained).Msg("daemon stays registered as lost: its records of requests end with it")
		return
	}
	if _, err := d.session.propose(ctx, cmd); err != nil {
		d.log.Warn().Err(err).Msg("daemon was not deregistered; it counts as lost until it is removed")
	}
}

// Close stops the daemon at once and waits for its goroutines. Drain comes
// before it for a planned stop.
func (d *Daemon) Close() error {
	d.draining.Store(true)
	d.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), httpCloseTimeout)
	defer cancel()
	for _, s := range d.servers {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
	d.session.close()
	if d.scheduler != nil {
		d.scheduler.close()
	}
	d.peers.Close()
	d.links.close()
	if d.entry != nil {
		d.entry.Close()
	}
	var err error
	if d.control != nil {
		err = d.control.close()
	}
	d.wg.Wait()
	return errors.Join(err, d.metrics.Close(), d.recorder.Close())
}

// connected runs for each connection that this daemon dialled.
func (d *Daemon) connected(address string, c *brpeer.Conn) {
	_ = brpeer.Push(c, brwire.NameHello, brwire.Hello{DaemonID: d.self.ID})
	d.session.connected(address, c)
	if d.scheduler == nil {
		return
	}
	// Grants may have been lost with the connection before this one.
	for _, row := range d.session.present().Daemons {
		if row.PeerAddress == address && slices.Contains(row.Roles, brwire.RoleEntry) {
			d.scheduler.entryConnected(row.ID)
		}
	}
}

// connTo returns the open connection to a daemon, or nil. The link is dialled
// when it is asked for the first time.
func (d *Daemon) connTo(id string) *brpeer.Conn {
	row, ok := d.session.present().Daemon(id)
	if !ok {
		return nil
	}
	return d.links.conn(row.PeerAddress)
}

// toControl pushes a message to the replica of the session, which passes it on
// to the leader. Nothing is lost for good: schedulers report each second.
func (d *Daemon) toControl(name string, msg any) {
	c := d.links.conn(d.session.replica())
	if c == nil {
		return
	}
	_ = brpeer.Push(c, name, msg)
}

func (d *Daemon) viewChanged(old, v brstate.View) {
	d.record(brtimeline.Event{Kind: brtimeline.ConfigurationApplied, Revision: v.Revision})
	if d.control != nil {
		d.recordOutcomes(old, v)
	}
	if d.entry != nil {
		d.entry.viewChanged(old, v)
	}
	if d.scheduler != nil {
		d.scheduler.viewChanged(v)
	}
	wanted := map[string]bool{}
	for _, a := range d.session.replicas {
		wanted[a] = true
	}
	for _, row := range v.Daemons {
		wanted[row.PeerAddress] = true
	}
	d.wg.Go(func() { d.links.keep(wanted) })
}

func (d *Daemon) standingChanged(s brmember.Standing) {
	kind := brtimeline.ConfirmationRegained
	if s == brmember.Unconfirmed || s == brmember.Exempt {
		kind = brtimeline.ConfirmationLost
	}
	d.record(brtimeline.Event{Kind: kind, Detail: s.String()})
}

func (d *Daemon) leasesEnded(names []string) {
	if len(names) > 0 {
		d.log.Warn().Strs("leases", names).Msg("leases ended")
	}
}

func (d *Daemon) leasesExtended(names []string, until time.Time) {
	d.record(brtimeline.Event{Kind: brtimeline.LeaseExtended, Detail: strings.Join(names, " ")})
	d.log.Warn().Strs("leases", names).Time("until", until).Msg("control group out of reach for a majority; leases extended")
}

func (d *Daemon) record(e brtimeline.Event) { d.recorder.Record(e) }

func (d *Daemon) has(r brwire.Role) bool { return slices.Contains(d.self.Roles, r) }

// replicaAddresses returns the peer addresses of the control replicas. A daemon
// starts at its own replica, then at one of its choice, so that sessions spread.
func (d *Daemon) replicaAddresses() []string {
	var list []string
	start := 0
	for i, p := range d.settings.ControlPeers {
		list = append(list, p.Address)
		if p.DaemonID == d.self.ID {
			start = i
		}
	}
	if !d.has(brwire.RoleControl) && len(list) > 0 {
		start = int(rendezvous(d.self.ID, "") % uint64(len(list)))
	}
	return append(list[start:len(list):len(list)], list[:start]...)
}

func modelOf(pool string) string {
	model, _, _ := strings.Cut(pool, "@")
	return model
}

func regionOf(pool string) string {
	_, region, _ := strings.Cut(pool, "@")
	return region
}

func poolKind(doc brconfig.Document, model string) brwire.EndpointKind {
	for _, m := range doc.Models {
		if m.Name == model && m.Kind == string(brwire.KindService) {
			return brwire.KindService
		}
	}
	return brwire.KindEngine
}
