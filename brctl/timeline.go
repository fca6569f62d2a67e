package brctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"bramleyroute/broperator"
	"bramleyroute/brtimeline"
	"github.com/alecthomas/kingpin/v2"
)

// timelineFlags holds the values of the flags that select events.
type timelineFlags struct {
	filter   brtimeline.Filter
	from, to string
	last     time.Duration
	files    bool
}

func (a *App) addTimeline() {
	timeline := a.kingpin.Command("timeline", "Show the events of all daemons in causal order. An event must match all flags that are given.")
	t := addTimelineFlags(timeline)
	timeline.Flag("request-id", "Request ID.").StringVar(&t.filter.RequestID)
	timeline.Flag("command-id", "Command ID.").StringVar(&t.filter.CommandID)
	a.add(timeline, func(ctx context.Context, c client) error { return a.timeline(ctx, c, t, nil) })

	orders := a.kingpin.Command("orders", "Show the orders that were sent to endpoints, with the responses.")
	o := addTimelineFlags(orders)
	kinds := []brtimeline.Kind{brtimeline.OrderPlanned, brtimeline.OrderSent, brtimeline.OrderResponded}
	a.add(orders, func(ctx context.Context, c client) error { return a.timeline(ctx, c, o, kinds) })
}

func addTimelineFlags(c *kingpin.CmdClause) *timelineFlags {
	s := &timelineFlags{}
	c.Flag("endpoint", "Endpoint ID.").StringVar(&s.filter.EndpointID)
	c.Flag("rollout", "Rollout ID.").StringVar(&s.filter.RolloutID)
	c.Flag("from", "Start of the time range, for example 2026-05-04T18:00:00+02:00.").StringVar(&s.from)
	c.Flag("to", "End of the time range, exclusive.").StringVar(&s.to)
	c.Flag("last", "Only events of this period before now, for example 10m; instead of --from.").DurationVar(&s.last)
	c.Flag("files", "Include events from before the daemons' starts, read from their files; slower.").BoolVar(&s.files)
	return s
}

func (s *timelineFlags) query(now time.Time) (broperator.TimelineQuery, error) {
	q := broperator.TimelineQuery{Filter: s.filter, Files: s.files}
	for _, f := range []struct {
		name, text string
		to         *time.Time
	}{{"from", s.from, &q.From}, {"to", s.to, &q.To}} {
		if f.text == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339, f.text)
		if err != nil {
			return q, usageError{fmt.Sprintf("--%s: %q is not a time of the form 2026-05-04T18:00:00+02:00", f.name, f.text)}
		}
		*f.to = t
	}
	if s.last > 0 {
		if s.from != "" {
			return q, usageError{"--last: can't be given together with --from"}
		}
		q.From = now.Add(-s.last)
	}
	return q, nil
}

func (a *App) timeline(ctx context.Context, c client, s *timelineFlags, kinds []brtimeline.Kind) error {
	q, err := s.query(a.now())
	if err != nil {
		return err
	}
	t, err := read[broperator.TimelineQuery, broperator.Timeline](ctx, c, "POST", broperator.PathTimeline, q)
	if err != nil {
		return err
	}
	if kinds != nil {
		t.Events = slices.DeleteFunc(t.Events, func(e brtimeline.Event) bool { return !slices.Contains(kinds, e.Kind) })
	}
	a.warnMissing(t.Missing)
	if len(t.Truncated) > 0 {
		fmt.Fprintln(a.errOut, "warning: older events are left out from", strings.Join(t.Truncated, ", ")+"; narrow the selection")
	}
	return a.print(t, func(g *tableWriter) {
		g.row("TIME", "DAEMON", "EVENT", "DETAILS")
		for _, e := range t.Events {
			g.row(e.Stamp.Time().Format("2006-01-02T15:04:05.000000Z"), e.Process, e.Kind, details(e))
		}
	})
}

// details formats the fields of an event that are set.
func details(e brtimeline.Event) string {
	var parts []string
	add := func(name, v string) {
		if v != "" && v != "0" {
			parts = append(parts, name+"="+v)
		}
	}
	add("request", e.RequestID)
	add("command", e.CommandID)
	add("pool", e.Pool)
	add("endpoint", e.EndpointID)
	add("rollout", e.RolloutID)
	add("customer", e.Customer)
	add("route", e.Route)
	add("tier", fmt.Sprint(e.Tier))
	add("version", e.Version)
	add("peer", e.Peer)
	add("epoch", fmt.Sprint(e.Epoch))
	add("revision", fmt.Sprint(e.Revision))
	add("per_mille", fmt.Sprint(e.PerMille))
	add("tokens", fmt.Sprint(e.Tokens))
	add("error", e.ErrorKind)
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	if e.Reason != "" {
		parts = append(parts, "("+e.Reason+")")
	}
	return strings.Join(parts, " ")
}
