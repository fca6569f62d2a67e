package brsetting

import (
	"fmt"
	"strings"
)

// Reference returns the reference page of the settings in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString(`# Settings of bramleyroute

This page is generated from the table in package brsetting; change it there and
run ` + "`go test ./brsetting -update`" + `.

Each setting is a flag and an environment variable. A flag goes before its
environment variable, and that before the default; an empty value counts as
none. Lists are separated by commas. Durations are written like 250ms, 3s or 1m,
bytes like 65536, 64KiB or 4MiB. All settings are checked at the start, and all
problems are reported at once. Keys should come from the environment, because
other users of a VM can see the flags of a process.

| Setting | Flag | Environment variable | Default | Unit | Accepted | Description |
|---|---|---|---|---|---|---|
`)
	for _, s := range Table() {
		def := "–"
		if s.Default != "" {
			def = "`" + s.Default + "`"
		}
		fmt.Fprintf(&b, "| `%s` | `--%s` | `%s` | %s | %s | %s | %s |\n",
			s.Name, s.Flag(), s.Environment(), def, s.Unit, s.Check, s.Description)
	}
	return b.String()
}

// Lines returns one line name=value for each setting, from the texts that lookup
// returns for their names, for the log at the start. Secrets are replaced by
// their number.
func Lines(lookup func(name string) string) []string {
	var lines []string
	for _, row := range Table() {
		v := lookup(row.Name)
		if v == "" {
			v = row.Default
		}
		if row.Secret {
			v = fmt.Sprintf("(%d keys)", len(split(v)))
		}
		lines = append(lines, row.Name+"="+v)
	}
	return lines
}

// Lines returns the lines of the parsed flags.
func (f *Flags) Lines() []string {
	return Lines(func(name string) string { return f.texts[name].text })
}
