package brload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// WriteTable writes a result as Markdown tables. It ignores errors of w.
func WriteTable(w io.Writer, r Result) {
	fmt.Fprintf(w, "### %s, seed %d\n\n", r.Name, r.Seed)
	switch {
	case len(r.Phases) > 0:
		writePhases(w, r)
	case len(r.Latency) > 0:
		writeLatency(w, r.Latency, r.Steps)
	case len(r.Throughput) > 0:
		writeThroughput(w, r.Throughput, r.Memory)
	}
}

func writePhases(w io.Writer, r Result) {
	fmt.Fprintf(w, "Capacity: %.1f requests/s\n\n", r.Capacity)
	fmt.Fprint(w, "| Load | Target | good/s |")
	tiers := usedTiers(r)
	for _, t := range tiers {
		fmt.Fprintf(w, " good %% tier %d (first token in time) |", t)
	}
	fmt.Fprintf(w, " first token p50 / p95 tier %d, ms | refused | failed |\n|%s\n", tiers[0], strings.Repeat("---|", 6+len(tiers)))
	for _, p := range r.Phases {
		for _, report := range p.Reports {
			fmt.Fprintf(w, "| %s | %s | %.1f |", p.Name, report.Name, report.Rate)
			for _, t := range tiers {
				row := report.Tiers[t-1]
				fmt.Fprintf(w, " %.1f (%.1f) of %d |", row.Percent(row.Good), row.Percent(row.FirstInTime), row.Offered)
			}
			refused, failed := map[string]int{}, map[string]int{}
			for _, row := range report.Tiers {
				addCounts(refused, row.Refused)
				addCounts(failed, row.Failed)
				if row.Lost > 0 {
					failed["connection"] += row.Lost
				}
			}
			q := report.Tiers[tiers[0]-1].FirstToken
			fmt.Fprintf(w, " %.0f / %.0f | %s | %s |\n", q.P50, q.P95, formatCounts(refused), formatCounts(failed))
		}
	}
	fmt.Fprint(w, "\n| Load | Target | computed | cached | unfinished | late | missed | wasted % | scheduler's counts |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, p := range r.Phases {
		for _, report := range p.Reports {
			row := report.Waste
			fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %d | %d | %.2f | %s |\n", p.Name, report.Name, row.Computed, row.Cached, row.Unfinished, row.Late, row.Missed, row.Percent(), formatCounts(row.Scheduler))
		}
	}
	n := 0
	for _, p := range r.Phases {
		for _, report := range p.Reports {
			n += len(report.Errors)
			for _, e := range report.Errors {
				fmt.Fprintf(w, "\nViolated invariant at %s, %s: %s\n", p.Name, report.Name, e)
			}
		}
	}
	fmt.Fprintf(w, "\nInvariants violated: %d\n\n", n)
}

// usedTiers returns the tiers that have requests in any phase.
func usedTiers(r Result) []int {
	var out []int
	for t := 1; t <= Tiers; t++ {
		if slices.ContainsFunc(r.Phases, func(p Phase) bool { return p.Reports[0].Tiers[t-1].Offered > 0 }) {
			out = append(out, t)
		}
	}
	return out
}

func addCounts(into, from map[string]int) {
	for k, n := range from {
		into[k] += n
	}
}

func formatCounts(m map[string]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if m[k] != 0 {
			out = append(out, fmt.Sprintf("%s %d", k, m[k]))
		}
	}
	if len(out) == 0 {
		return "–"
	}
	return strings.Join(out, ", ")
}

// WriteReport writes the report of one run as a Markdown table by tier. It ignores
// errors of w.
func WriteReport(w io.Writer, r Report) {
	fmt.Fprintf(w, "%s: %.1f good responses/s, %.0f tokens/s\n\n", r.Name, r.Rate, r.Tokens)
	fmt.Fprintln(w, "| Tier | offered | good % | first token in time % | first token p50 / p95 / p99, ms | between tokens p50 / p95 / p99, ms | total p50 / p95 / p99, ms | retries | refused | failed |\n|---|---|---|---|---|---|---|---|---|---|")
	for i, t := range r.Tiers {
		if t.Offered == 0 {
			continue
		}
		failed := map[string]int{"connection": t.Lost, "foreign": t.Incorrect}
		addCounts(failed, t.Failed)
		fmt.Fprintf(w, "| %d | %d | %.1f | %.1f | %s | %s | %s | %d | %s | %s |\n", i+1, t.Offered, t.Percent(t.Good), t.Percent(t.FirstInTime),
			t.FirstToken, t.BetweenTokens, t.Total, t.Retries, formatCounts(t.Refused), formatCounts(failed))
	}
}
