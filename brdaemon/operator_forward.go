package brdaemon

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"bramleyroute/brerror"
	"bramleyroute/broperator"
	"bramleyroute/brpeer"
)

// Names of the calls with which a daemon forwards an operator's request.
const (
	nameStatus = "daemon_status"
	nameDrain  = "daemon_drain"
)

// registerOperator adds the handlers of operators' requests that other daemons
// forward.
func (d *Daemon) registerOperator(m *brpeer.Mux) {
	brpeer.HandleCall(m, nameStatus, func(ctx context.Context, _ *brpeer.Conn, _ broperator.Empty) (broperator.Status, error) {
		return d.opStatus(ctx, broperator.Empty{})
	})
	brpeer.HandleCall(m, nameDrain, func(ctx context.Context, _ *brpeer.Conn, _ broperator.Drain) (broperator.Empty, error) {
		return d.opDrain(ctx, broperator.Drain{})
	})
}

// opStatuses returns the states of one or of all registered daemons.
func (d *Daemon) opStatuses(ctx context.Context, q broperator.StatusQuery) (broperator.Statuses, error) {
	out := broperator.Statuses{Daemons: []broperator.Status{}, Missing: []string{}}
	if q.DaemonID != "" && q.DaemonID != d.self.ID {
		if _, ok := d.session.currentView().Daemon(q.DaemonID); !ok {
			return out, unknownDaemon(q.DaemonID)
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	if q.DaemonID == "" || q.DaemonID == d.self.ID {
		own, err := d.opStatus(ctx, broperator.Empty{})
		if err != nil {
			return out, err
		}
		out.Daemons = append(out.Daemons, own)
	}
	for _, row := range d.session.currentView().Daemons {
		if row.ID == d.self.ID || q.DaemonID != "" && row.ID != q.DaemonID {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
			defer cancel()
			s, err := callDaemon[broperator.Empty, broperator.Status](ctx, d, row.ID, nameStatus, broperator.Empty{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Missing = append(out.Missing, row.ID)
				return
			}
			out.Daemons = append(out.Daemons, s)
		})
	}
	wg.Wait()
	slices.SortFunc(out.Daemons, func(a, b broperator.Status) int { return cmp.Compare(a.DaemonID, b.DaemonID) })
	slices.Sort(out.Missing)
	return out, nil
}

func unknownDaemon(id string) error {
	return brerror.New(brerror.InvalidRequest, "no registered daemon has the ID %.64q", id).WithField("daemon_id")
}

// opDrain starts the graceful shutdown of this daemon or forwards the request
// to another one. The process ends when the shutdown is complete.
func (d *Daemon) opDrain(ctx context.Context, q broperator.Drain) (broperator.Empty, error) {
	if q.DaemonID != "" && q.DaemonID != d.self.ID {
		if _, ok := d.session.currentView().Daemon(q.DaemonID); !ok {
			return broperator.Empty{}, unknownDaemon(q.DaemonID)
		}
		ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
		defer cancel()
		_, err := callDaemon[broperator.Drain, broperator.Empty](ctx, d, q.DaemonID, nameDrain, broperator.Drain{})
		if err != nil && ctx.Err() != nil {
			err = brerror.New(brerror.EndpointUnavailable, "no reply from daemon %s: %w", q.DaemonID, err)
		}
		return broperator.Empty{}, err
	}
	select {
	case d.drainRequested <- struct{}{}:
	default:
	}
	return broperator.Empty{}, nil
}

// DrainRequested returns a channel that receives a value when an operator has
// requested a graceful stop of this daemon.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.drainRequested }
