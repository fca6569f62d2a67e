package brctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// print writes v as JSON, or calls table if the output format is a table.
func (a *App) print(v any, table func(*tableWriter)) error {
	if a.output == outputJSON {
		return a.printJSON(v)
	}
	g := &tableWriter{w: tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)}
	table(g)
	return g.w.Flush()
}

func (a *App) printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s\n", b)
	return err
}

// tableWriter writes the rows of a table.
type tableWriter struct{ w *tabwriter.Writer }

// row writes a row. Empty cells become a dash, so that columns can be counted.
func (g *tableWriter) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = strings.TrimSpace(fmt.Sprint(c))
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(g.w, strings.Join(texts, "\t")) // errors are reported by Flush
}

// blank writes an empty line, which separates two tables.
func (g *tableWriter) blank() { fmt.Fprintln(g.w) }

func joinList[T ~string](items []T) string {
	texts := make([]string, len(items))
	for i, x := range items {
		texts[i] = string(x)
	}
	return strings.Join(texts, ",")
}

// tiers formats one number for each tier.
func tiers(n [5]int) string {
	return fmt.Sprintf("%d/%d/%d/%d/%d", n[0], n[1], n[2], n[3], n[4])
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
