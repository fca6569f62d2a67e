package brsetting

import (
	"fmt"
	"strings"
)

// Reference returns the reference page of the settings as Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString(`# Settings of bramleyroute

This page is generated from the table in package brsetting; change it there and
run ` + "`go test ./brsetting -update`" + `.

Each setting has a flag and an environment variable. A flag takes precedence over
its environment variable, and both over the default. An empty value selects the
default. The elements of a list are separated by commas. Durations are written like
250ms, 3s or 1m, and bytes like 65536, 64KiB or 4MiB. All settings are checked at
the start, and all problems are reported at once. Pass keys in environment
variables, because other users of a VM can see the flags of a process.

| Setting | Flag | Environment variable | Default | Unit | Accepted | Description |
|---|---|---|---|---|---|---|
`)
	for _, s := range Table() {
		def := "–"
		if s.Default != "" {
			def = "`" + s.Default + "`"
		}
		fmt.Fprintf(&b, "| `%s` | `--%s` | `%s` | %s | %s | %s | %s |\n",
			s.Name, s.Flag(), s.EnvVar(), def, s.Unit, s.Accepted, s.Description)
	}
	return b.String()
}

// Lines returns one line "name=value" for each setting, to be logged at the start.
// The values are those that lookup returns for the names, or the defaults. The value
// of a secret setting is replaced by the number of its keys.
func Lines(lookup func(name string) string) []string {
	var lines []string
	for _, row := range Table() {
		v := lookup(row.Name)
		if v == "" {
			v = row.Default
		}
		if row.Secret {
			v = fmt.Sprintf("(%d keys)", len(splitList(v)))
		}
		lines = append(lines, row.Name+"="+v)
	}
	return lines
}

// Lines returns the lines described at the function Lines for the parsed flags.
func (f *Flags) Lines() []string {
	return Lines(func(name string) string { return f.texts[name].text })
}
