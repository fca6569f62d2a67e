// Package brmetrics exports a daemon's counters and gauges as text in the format
// of Prometheus. The owners of counters keep running totals; Count exports them.
package brmetrics
