// Package brmetrics exports a daemon's counters and gauges in the Prometheus text
// format. Counters are running totals that other packages maintain;
// Exporter.ExportTotal exports them.
package brmetrics
