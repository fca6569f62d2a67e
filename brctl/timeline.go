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

// span holds the flags that select events.
type span struct {
	filter   brtimeline.Filter
	from, to string
	last     time.Duration
	files    bool
}

func (a *App) addTimeline() {
	timeline := a.kingpin.Command("timeline", "Show the events of all daemons in causal order. Flags that are given must all match.")
	t := spanFlags(timeline)
	timeline.Flag("request-id", "Request id.").StringVar(&t.filter.RequestID)
	timeline.Flag("command-id", "Command id.").StringVar(&t.filter.CommandID)
	a.add(timeline, func(ctx context.Context, c client) error { return a.timeline(ctx, c, t, nil) })

	orders := a.kingpin.Command("orders", "Show the orders that were sent to endpoints, with their answers.")
	o := spanFlags(orders)
	kinds := []brtimeline.Kind{brtimeline.OrderPlanned, brtimeline.OrderSent, brtimeline.OrderAnswered}
	a.add(orders, func(ctx context.Context, c client) error { return a.timeline(ctx, c, o, kinds) })
}

func spanFlags(c *kingpin.CmdClause) *span {
	s := &span{}
	c.Flag("endpoint", "Endpoint id.").StringVar(&s.filter.EndpointID)
	c.Flag("rollout", "Rollout id.").StringVar(&s.filter.RolloutID)
	c.Flag("from", "First time, as in 2026-05-04T18:00:00+02:00.").StringVar(&s.from)
	c.Flag("to", "Time after the last one.").StringVar(&s.to)
	c.Flag("last", "Only the last part, as in 10m; instead of --from.").DurationVar(&s.last)
	c.Flag("files", "Also what the daemons' files hold from before their starts; slower.").BoolVar(&s.files)
	return s
}

func (s *span) query(now time.Time) (broperator.TimelineQuery, error) {
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
			return q, usageError{fmt.Sprintf("--%s: %q is not a time as in 2026-05-04T18:00:00+02:00", f.name, f.text)}
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

func (a *App) timeline(ctx context.Context, c client, s *span, kinds []brtimeline.Kind) error {
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
	if len(t.Cut) > 0 {
		fmt.Fprintln(a.errors, "warning: older events are left out of", strings.Join(t.Cut, ", ")+"; select fewer")
	}
	return a.print(t, func(g *grid) {
		g.row("TIME", "DAEMON", "EVENT", "DETAILS")
		for _, e := range t.Events {
			g.row(e.Stamp.Time().Format("2006-01-02T15:04:05.000000Z"), e.Process, e.Kind, details(e))
		}
	})
}

// details writes the fields of an event that are set.
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
