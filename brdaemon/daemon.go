package brdaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brclock"
	"bramleyroute/brerror"
	"bramleyroute/brlogging"
	"bramleyroute/brmember"
	"bramleyroute/brpeer"
	"bramleyroute/brserver"
	"bramleyroute/brsetting"
	"bramleyroute/brstate"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
)

const (
	// maxClockAhead is how far a peer's stamp may be ahead of this VM's clock.
	// The timeline ignores stamps that are further ahead.
	maxClockAhead = time.Minute
	// httpCloseTimeout limits the wait of Close for the responses to the requests that
	// it ends, with or without a preceding Drain.
	httpCloseTimeout = time.Second
	// shutdownStepTimeout limits the leadership transfer and the deregistration
	// of a stopping daemon, each.
	shutdownStepTimeout = 3 * time.Second
)

// Options configures a daemon in addition to its settings.
type Options struct {
	Clock brclock.Clock // the system clock if nil
	Log   zerolog.Logger
	// Fatal is called with an error after which the process must end, such as a
	// failed sync. It is required.
	Fatal func(error)
	// DialEndpoint opens a direct connection to an endpoint; nil means net.Dialer.
	DialEndpoint func(ctx context.Context, network, address string) (net.Conn, error)
	// The listeners that are not nil replace those of the settings' addresses.
	CallerListener, PeerListener, OperatorListener net.Listener
}

// Daemon is a running bramleyroute daemon. Tests and the demonstration run
// several in one process.
type Daemon struct {
	settings      brsetting.Settings
	clock         brclock.Clock
	log           zerolog.Logger
	fatal         func(error)
	keys          brpeer.Keys
	self          brwire.Daemon
	leaseDuration time.Duration
	recorder      *brtimeline.Recorder
	buffers       *brbuffer.Budget // of requests that arrive

	links   *links
	session *session
	peers   *brpeer.Server
	servers []*brserver.Server

	paths     *paths
	entry     *entry     // nil without the role
	scheduler *scheduler // nil without the role
	control   *control   // nil without the role

	metrics        *metrics
	stamps         stamps
	drainRequested chan struct{}
	draining       atomic.Bool
	mu             sync.Mutex
	entries        map[string]*brpeer.Conn // open connections of entries, by daemon ID
	wg             sync.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc
}

// Start starts a daemon. The settings must have passed their check. Start
// returns an error if a listener, the timeline or the control replica can't be
// started, and panics if o.Fatal is nil.
func Start(s brsetting.Settings, o Options) (*Daemon, error) {
	if o.Clock == nil {
		o.Clock = brclock.System{}
	}
	if o.Fatal == nil {
		panic("brdaemon: Options.Fatal is nil")
	}
	d := &Daemon{
		settings: s, clock: o.Clock, fatal: o.Fatal, keys: brpeer.Keys(s.PeerKeys), leaseDuration: s.LeaseDuration,
		log: o.Log.With().Str("daemon", s.DaemonID).Logger(), entries: map[string]*brpeer.Conn{},
		drainRequested: make(chan struct{}, 1),
	}
	d.buffers = brbuffer.New(brbuffer.Config{Bytes: bufferBytes(s), Log: d.log, Clock: o.Clock})
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
		OnError: func(err error) { d.log.Error().Err(err).Msg("writing the timeline file failed") },
	})
	if err != nil {
		lis.close()
		return nil, fmt.Errorf("brdaemon: timeline: %w", err)
	}
	d.recorder = recorder
	if err := d.startRoles(lis, o.DialEndpoint); err != nil {
		lis.close()
		return nil, err
	}
	d.record(brtimeline.Event{Kind: brtimeline.ProcessStarted})
	return d, nil
}

func (d *Daemon) startRoles(lis listeners, dialEndpoint dialFunc) error {
	mux := &brpeer.Mux{OnPanic: brlogging.PanicHandler(d.log), OnDropped: brlogging.DroppedHandler(d.log)}
	d.stampMessages(mux)
	d.links = newLinks(d.keys, mux, d.connected)
	d.session = newSession(d.clock, d.log, d.self, d.links, d.replicaAddresses())
	d.session.onViewChanged, d.session.onStanding = d.viewChanged, d.standingChanged
	d.session.onLeasesEnded, d.session.onLeasesExtended = d.leasesEnded, d.leasesExtended
	d.paths = newPaths(d, dialEndpoint)
	if d.hasRole(brwire.RoleControl) {
		c, err := startControl(d)
		if err != nil {
			return err
		}
		d.control = c
		c.replica.Register(mux)
	}
	if d.hasRole(brwire.RoleScheduler) {
		d.scheduler = newScheduler(d)
	}
	if d.hasRole(brwire.RoleEntry) {
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
	d.wg.Go(d.paths.run)
	if d.entry != nil {
		d.wg.Go(d.entry.maintainBindings)
	}
	return nil
}

// Self returns the daemon's description, with the addresses on which it
// listens.
func (d *Daemon) Self() brwire.Daemon { return d.self }

// Recorder returns the daemon's timeline recorder.
func (d *Daemon) Recorder() *brtimeline.Recorder { return d.recorder }

// Ready returns nil while the daemon accepts new work, and otherwise the reason
// why it doesn't.
func (d *Daemon) Ready() error { return d.ready() }

func (d *Daemon) ready() error {
	if d.draining.Load() {
		return brerror.New(brerror.ShuttingDown, "daemon is stopping").WithRetryAfter(unconfirmedRetryAfter)
	}
	if !d.session.acceptsWork() {
		st, age := d.session.standing()
		return brerror.New(brerror.ConfigurationUnconfirmed, "daemon is %v; last confirmation or start %v ago", st, age.Round(time.Millisecond)).WithRetryAfter(unconfirmedRetryAfter)
	}
	// A pool's next owner queries only registered entries for the requests that
	// they dispatched, so an unregistered entry must not accept work.
	if !d.session.registered() {
		return brerror.New(brerror.ConfigurationUnconfirmed, "daemon is not registered yet").WithRetryAfter(unconfirmedRetryAfter)
	}
	return nil
}

// Drain stops the daemon gracefully: it stops accepting work, releases its
// pools, finishes all requests in progress, transfers control leadership and
// deregisters the daemon. It returns ctx's error if ctx ends before the
// requests do, and nil at once if the daemon is already draining.
func (d *Daemon) Drain(ctx context.Context) error {
	if !d.draining.CompareAndSwap(false, true) {
		return nil
	}
	d.record(brtimeline.Event{Kind: brtimeline.ShutdownBegun})
	d.log.Info().Msg("graceful shutdown started")
	var err error
	if d.scheduler != nil {
		releaseCtx, cancel := context.WithTimeout(ctx, poolReleaseTimeout)
		d.scheduler.releasePools(releaseCtx)
		cancel()
	}
	if d.entry != nil {
		err = d.entry.Drain(ctx)
	}
	if e := d.paths.server.Drain(ctx); e != nil {
		d.log.Warn().Err(e).Int("tunnels", d.paths.server.Stats().Open).Msg("tunnels of other daemons were still open")
	}
	if d.control != nil {
		transferCtx, cancel := context.WithTimeout(ctx, shutdownStepTimeout)
		if e := d.control.replica.TransferLeadership(transferCtx); e != nil {
			d.log.Debug().Err(e).Msg("leadership was not transferred")
		}
		cancel()
	}
	d.deregister(ctx, err)
	d.record(brtimeline.Event{Kind: brtimeline.ShutdownEnded})
	return err
}

// poolReleaseTimeout limits the wait for entries to start or return their
// grants; the grant window is 0.5 s.
const poolReleaseTimeout = 2 * time.Second

// deregister removes the daemon from the register, so that a planned stop isn't
// counted as a lost daemon. If requests were still in progress at the end of
// the drain, or the entry's records can't be transferred, the daemon stays
// registered and counts as lost.
func (d *Daemon) deregister(ctx context.Context, drainErr error) {
	ctx, cancel := context.WithTimeout(ctx, shutdownStepTimeout)
	defer cancel()
	cmd := brstate.Command{DeregisterDaemon: &brstate.DeregisterDaemon{DaemonID: d.self.ID, Incarnation: d.self.Incarnation}}
	d.session.stopHeartbeats()
	if c := d.links.conn(d.session.replica()); c != nil {
		_, _ = brpeer.Call[brwire.Heartbeat, brwire.HeartbeatReply](ctx, c, brwire.NameHeartbeat, brwire.Heartbeat{Daemon: d.self, Leaving: true})
	}
	if d.entry != nil && drainErr == nil {
		drainErr = d.transferRecords(ctx)
	}
	if drainErr != nil {
		d.log.Warn().Err(drainErr).Msg("daemon stays registered and counts as lost: its request records were not transferred")
		return
	}
	if _, err := d.session.propose(ctx, cmd); err != nil {
		d.log.Warn().Err(err).Msg("daemon was not deregistered; it counts as lost until it is removed")
	}
}

// Close stops the daemon at once and waits for its goroutines. Requests in progress are
// ended with a response. For a planned stop, Drain is called first.
func (d *Daemon) Close() error {
	d.draining.Store(true)
	d.cancel()
	if d.entry != nil {
		d.entry.EndRequests()
	}
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
	d.paths.close()
	var err error
	if d.control != nil {
		err = d.control.close()
	}
	d.wg.Wait()
	return errors.Join(err, d.metrics.Close(), d.recorder.Close())
}

// connected runs for each connection that this daemon has dialed.
func (d *Daemon) connected(address string, c *brpeer.Conn) {
	_ = brpeer.Push(c, brwire.NameHello, brwire.Hello{DaemonID: d.self.ID})
	d.session.connected(address, c)
	if d.scheduler == nil {
		return
	}
	// Grants may have been lost with the previous connection.
	for _, row := range d.session.currentView().Daemons {
		if row.PeerAddress == address && slices.Contains(row.Roles, brwire.RoleEntry) {
			d.scheduler.entryConnected(row.ID)
		}
	}
}

// connTo returns the open connection to a daemon, or nil if there is none. The
// first call for a daemon starts dialing it.
func (d *Daemon) connTo(id string) *brpeer.Conn {
	row, ok := d.session.currentView().Daemon(id)
	if !ok {
		return nil
	}
	return d.links.conn(row.PeerAddress)
}

// toControl pushes a message to the session's control replica, which forwards
// it to the leader. A lost message does no lasting harm, since schedulers
// report each second.
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
	d.paths.viewChanged(v)
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
	d.wg.Go(func() { d.links.closeExcept(wanted) })
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
	d.log.Warn().Strs("leases", names).Time("until", until).Msg("a majority of the daemons can't reach the control group; leases extended")
}

func (d *Daemon) record(e brtimeline.Event) { d.recorder.Record(e) }

func (d *Daemon) hasRole(r brwire.Role) bool { return slices.Contains(d.self.Roles, r) }

// replicaAddresses returns the peer addresses of the control replicas in the
// order in which the session tries them. A control replica comes first in its
// own list; other daemons start at an index hashed from their ID, so that the
// sessions are spread.
func (d *Daemon) replicaAddresses() []string {
	var list []string
	start := 0
	for i, p := range d.settings.ControlPeers {
		list = append(list, p.Address)
		if p.DaemonID == d.self.ID {
			start = i
		}
	}
	if !d.hasRole(brwire.RoleControl) && len(list) > 0 {
		start = int(rendezvous(d.self.ID, "") % uint64(len(list)))
	}
	return append(list[start:len(list):len(list)], list[:start]...)
}
