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
	// maxPartEvents bounds the events of one daemon in an answer. An event has at
	// most about 1.2 KB, and a message at most 4 MiB; a longer one would end the
	// link that carries it.
	maxPartEvents = 3000
	// filesTimeout bounds the reading of a daemon's files, 64 MiB at most.
	filesTimeout = 6 * time.Second
)

// timelineQuery asks one daemon for its part of a timeline.
type timelineQuery struct {
	Filter brtimeline.Filter `cbor:"filter"`
	Files  bool              `cbor:"files"`
}

// timelinePart is the answer: the newest events that the filter selects.
type timelinePart struct {
	Events []brtimeline.Event `cbor:"events"`
	Cut    bool               `cbor:"cut"` // there are older ones
}

func (d *Daemon) registerTimeline(m *brpeer.Mux) {
	brpeer.HandleCall(m, brwire.NameTimeline, func(_ context.Context, _ *brpeer.Conn, q timelineQuery) (timelinePart, error) {
		return d.timelinePart(q), nil
	})
}

func (d *Daemon) timelinePart(q timelineQuery) timelinePart {
	events := d.recorder.Events(q.Filter)
	if q.Files && d.settings.DataDir != "" {
		old, invalid, err := brtimeline.ReadFiles(d.settings.DataDir, q.Filter)
		if err != nil || invalid > 0 {
			d.log.Warn().Err(err).Int("invalid_lines", invalid).Msg("timeline files can't be read in full")
		}
		events = brtimeline.Merge(old, events)
	}
	p := timelinePart{Events: events, Cut: len(events) > maxPartEvents}
	if p.Cut {
		p.Events = events[len(events)-maxPartEvents:]
	}
	return p
}

// opTimeline merges the timelines of all daemons, or returns that of this one.
func (d *Daemon) opTimeline(ctx context.Context, q broperator.TimelineQuery) (broperator.Timeline, error) {
	ask := timelineQuery{Filter: q.Filter, Files: q.Files}
	limit := gatherTimeout
	if q.Files {
		limit = filesTimeout
	}
	out := broperator.Timeline{Events: []brtimeline.Event{}, Missing: []string{}, Cut: []string{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lists [][]brtimeline.Event
	add := func(id string, p timelinePart) {
		mu.Lock()
		defer mu.Unlock()
		lists = append(lists, p.Events)
		if p.Cut {
			out.Cut = append(out.Cut, id)
		}
	}
	add(d.self.ID, d.timelinePart(ask))
	for _, row := range d.session.present().Daemons {
		if row.ID == d.self.ID || q.ThisDaemon {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			p, err := callDaemon[timelineQuery, timelinePart](ctx, d, row.ID, brwire.NameTimeline, ask)
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
	slices.Sort(out.Cut)
	out.Events = append(out.Events, brtimeline.Merge(lists...)...)
	return out, nil
}
