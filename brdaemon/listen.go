package brdaemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleyroute/brbuffer"
	"bramleyroute/brdispatch"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brpeer"
	"bramleyroute/brserver"
	"bramleyroute/brsetting"
	"bramleyroute/brtunnel"
	"bramleyroute/brwire"

	"github.com/rs/zerolog"
)

const (
	// maxAnnounceBytes limits the body of an endpoint's announcement.
	maxAnnounceBytes = 1 << 20
	// maxAnnounceTime is the time in which it must have arrived.
	maxAnnounceTime = 10 * time.Second
	// headerTimeout limits the time from the first byte of a request header to its end.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which a connection without a request may be closed.
	// Responses state it.
	idleTimeout = 2 * time.Minute
	// arrivingBodies is the number of bodies of the largest size that fit into the limit of
	// requests that arrive: a completion takes up to four times its size until it is held.
	arrivingBodies = 5
)

// bufferBytes returns the limit of the memory of all requests that arrive.
func bufferBytes(s brsetting.Settings) int {
	return int(max(s.EntryBufferBytes, arrivingBodies*s.MaxBodyBytes))
}

// responseBytes returns the limit of the memory of the services' responses.
func responseBytes(s brsetting.Settings) int {
	return int(max(s.EntryBufferBytes, arrivingBodies*brdispatch.DefaultMaxResponseBytes))
}

// listeners are the open listeners of a daemon; caller and operator may be nil.
type listeners struct{ caller, peer, operator net.Listener }

func (l listeners) close() {
	for _, x := range []net.Listener{l.caller, l.peer, l.operator} {
		if x != nil {
			x.Close()
		}
	}
}

// listen opens the listeners that the options don't provide.
func (d *Daemon) listen(o Options) (listeners, error) {
	l := listeners{caller: o.CallerListener, peer: o.PeerListener, operator: o.OperatorListener}
	for _, x := range []struct {
		to      *net.Listener
		name    string
		address string
	}{
		{&l.caller, "caller_address", d.settings.CallerAddress},
		{&l.peer, "peer_address", d.settings.PeerAddress},
		{&l.operator, "operator_address", d.settings.OperatorAddress},
	} {
		if *x.to != nil || x.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", x.address)
		if err != nil {
			l.close()
			return listeners{}, fmt.Errorf("brdaemon: %s: %w", x.name, err)
		}
		*x.to = ln
	}
	return l, nil
}

// advertisedAddress returns the setting, or the listener's address if the
// setting is empty or has port 0.
func advertisedAddress(setting string, l net.Listener) string {
	if setting != "" && !strings.HasSuffix(setting, ":0") {
		return setting
	}
	return l.Addr().String()
}

// callerAddress returns the address at which callers of other entries reach
// this one: the advertised IP address with the port of the callers' listener.
func callerAddress(peer string, l net.Listener) string {
	if l == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		return l.Addr().String()
	}
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return net.JoinHostPort(host, port)
}

// serve starts the HTTP servers.
func (d *Daemon) serve(l listeners) {
	peer := http.NewServeMux()
	peer.Handle(brpeer.Path, d.peers)
	peer.Handle(brtunnel.Path, d.paths.server)
	peer.HandleFunc("POST "+brengine.PathAnnounce, d.serveAnnounce)
	others := d.log.Level(zerolog.WarnLevel) // closes of connections are logged for callers only
	d.startServer(l.peer, peer, others)
	if d.entry != nil && l.caller != nil {
		mux := http.NewServeMux()
		mux.Handle("/", d.entry.Handler())
		mux.Handle("GET /healthz", d.entry.HealthHandler())
		mux.Handle("GET /readyz", d.entry.ReadinessHandler())
		d.startServer(l.caller, mux, d.log)
	}
	if l.operator != nil {
		d.startServer(l.operator, d.operatorHandler(), others)
	}
}

func (d *Daemon) startServer(l net.Listener, h http.Handler, log zerolog.Logger) {
	limits := brserver.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	s := brserver.New(brserver.Config{
		Handler: h, Limits: func() brserver.Limits { return limits }, StateKeepAlive: true, Log: log, Clock: d.clock,
		Buffers: d.buffers, MaxConns: d.settings.MaxConnections,
	})
	d.servers = append(d.servers, s)
	d.wg.Go(func() {
		if err := s.Serve(l); err != nil {
			d.log.Error().Err(err).Str("address", l.Addr().String()).Msg("listener failed")
		}
	})
}

// serveAnnounce forwards an endpoint's announcement to the scheduler of its
// pool. An endpoint that gets a status other than 202 announces itself to
// another daemon.
func (d *Daemon) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	if !brpeer.Keys(d.settings.EndpointKeys).Accepts(r) {
		http.Error(w, "endpoint key missing or unknown", http.StatusUnauthorized)
		return
	}
	var a brwire.Announce
	if err := d.readAnnounce(w, r, &a); err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, brbuffer.ErrNoRoom) {
			w.Header().Set("Retry-After", strconv.FormatFloat(brbuffer.RetryAfter.Seconds(), 'f', 2, 64))
			status = http.StatusServiceUnavailable
		}
		http.Error(w, "announcement: "+err.Error(), status)
		return
	}
	if err := checkAnnounce(a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := d.forwardAnnounce(a); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// readAnnounce reads an announcement. Errors include those of brbuffer.
func (d *Daemon) readAnnounce(w http.ResponseWriter, r *http.Request, a *brwire.Announce) error {
	body, err := d.buffers.Read(w, r, brbuffer.Options{Limit: maxAnnounceBytes, Deadline: d.clock.Now().Add(maxAnnounceTime)})
	if err != nil {
		return err
	}
	defer body.Release()
	return json.NewDecoder(body.Reader()).Decode(a)
}

func checkAnnounce(a brwire.Announce) error {
	for _, f := range []struct{ name, value string }{
		{"endpoint_id", a.EndpointID}, {"address", a.Address}, {"model", a.Model}, {"version", a.Version}, {"region", a.Region}, {"incarnation", a.Incarnation},
	} {
		if f.value == "" || len(f.value) > maxAnnounceFieldBytes {
			return brerror.New(brerror.InvalidRequest, "must have 1 to %d bytes", maxAnnounceFieldBytes).WithField(f.name)
		}
	}
	if a.Kind != brwire.KindEngine && a.Kind != brwire.KindService {
		return brerror.New(brerror.InvalidRequest, "must be engine or service").WithField("kind")
	}
	return nil
}

const maxAnnounceFieldBytes = 128

// forwardAnnounce sends an announcement to the owner of the pool. Without an
// owner it goes to the first candidate, which takes the pool over.
func (d *Daemon) forwardAnnounce(a brwire.Announce) error {
	pool := a.Pool()
	v := d.session.currentView()
	o, _ := v.Owner(pool)
	to := o.Holder
	if to == "" {
		if list := candidates(v, pool); len(list) > 0 {
			to = list[0]
		}
	}
	if to == d.self.ID && d.scheduler != nil {
		d.scheduler.report(a)
		return nil
	}
	c := d.connTo(to)
	if c == nil {
		return brerror.New(brerror.NotOwner, "the scheduler of pool %s can't be reached", pool)
	}
	return brpeer.Push(c, brwire.NameReport, brwire.PoolMessage[brwire.Announce]{Pool: pool, Message: a})
}
