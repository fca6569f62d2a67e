package brdaemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"bramleyroute/broperator"
	"bramleyroute/brpeer"
	"bramleyroute/brtimeline"
	"bramleyroute/brwire"
)

const (
	// maxReplyEvents limits the events in the reply of one daemon. An event has
	// at most about 1.2 KB and a message at most 4 MiB; a longer message would
	// close the link that carries it.
	maxReplyEvents = 3000
	// filesTimeout limits the reading of a daemon's timeline files, which have
	// at most 64 MiB.
	filesTimeout = 6 * time.Second
)

// timelineQuery queries one daemon for its events.
type timelineQuery struct {
	Filter brtimeline.Filter `cbor:"filter"`
	Files  bool              `cbor:"files"`
}

// timelineReply holds the newest events that the filter selects.
type timelineReply struct {
	Events    []brtimeline.Event `cbor:"events"`
	Truncated bool               `cbor:"cut"` // older events were left out
}

func (d *Daemon) registerTimeline(m *brpeer.Mux) {
	brpeer.HandleCall(m, brwire.NameTimeline, func(_ context.Context, _ *brpeer.Conn, q timelineQuery) (timelineReply, error) {
		return d.localTimeline(q), nil
	})
}

func (d *Daemon) localTimeline(q timelineQuery) timelineReply {
	events := d.recorder.Events(q.Filter)
	if q.Files && d.settings.DataDir != "" {
		old, invalid, err := brtimeline.ReadFiles(d.settings.DataDir, q.Filter)
		if err != nil || invalid > 0 {
			d.log.Warn().Err(err).Int("invalid_lines", invalid).Msg("timeline files were read only in part")
		}
		events = brtimeline.Merge(old, events)
	}
	p := timelineReply{Events: events, Truncated: len(events) > maxReplyEvents}
	if p.Truncated {
		p.Events = events[len(events)-maxReplyEvents:]
	}
	return p
}

// opTimeline merges the timelines of all daemons, or returns that of this one
// if q.ThisDaemon is set.
func (d *Daemon) opTimeline(ctx context.Context, q broperator.TimelineQuery) (broperator.Timeline, error) {
	query := timelineQuery{Filter: q.Filter, Files: q.Files}
	limit := daemonCallTimeout
	if q.Files {
		limit = filesTimeout
	}
	out := broperator.Timeline{Events: []brtimeline.Event{}, Missing: []string{}, Truncated: []string{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lists [][]brtimeline.Event
	add := func(id string, p timelineReply) {
		mu.Lock()
		defer mu.Unlock()
		lists = append(lists, p.Events)
		if p.Truncated {
			out.Truncated = append(out.Truncated, id)
		}
	}
	add(d.self.ID, d.localTimeline(query))
	for _, row := range d.session.currentView().Daemons {
		if row.ID == d.self.ID || q.ThisDaemon {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			p, err := callDaemon[timelineQuery, timelineReply](ctx, d, row.ID, brwire.NameTimeline, query)
			if err == nil {
				add(row.ID, p)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out.Missing = append(out.Missing, row.ID)
		})
	}
	wg.Wait()
	slices.Sort(out.Missing)
	slices.Sort(out.Truncated)
	out.Events = append(out.Events, brtimeline.Merge(lists...)...)
	return out, nil
}
