package brctl

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// Reference returns the reference page of the commands as Markdown, generated
// from the definition of the command line.
func (a *App) Reference() string {
	m := a.kingpin.Model()
	var b strings.Builder
	b.WriteString("# Commands of bramleyctl\n\nGenerated from the command line by `go test ./brctl -run TestReference -update`.\n\n")
	b.WriteString("bramleyctl operates an installation through the operators' listener of any daemon. Results go to standard output; command IDs, warnings and errors go to standard error.\n\n")
	b.WriteString("## Exit codes\n\n| Code | Meaning |\n|---|---|\n")
	for _, line := range ExitCodes() {
		code, text, _ := strings.Cut(line, "  ")
		fmt.Fprintf(&b, "| %s | %s |\n", code, text)
	}
	b.WriteString("\n## Flags of all commands\n\n")
	writeFlags(&b, m.Flags)
	for _, c := range m.FlattenedCommands() {
		if c.FullCommand == "help" {
			continue
		}
		fmt.Fprintf(&b, "\n## %s\n\n%s\n", c.FullCommand, c.Help)
		if len(c.Args) > 0 {
			b.WriteString("\n| Argument | Description |\n|---|---|\n")
			for _, g := range c.Args {
				name := "`<" + g.Name + ">`"
				if !g.Required {
					name = "`[<" + g.Name + ">]`"
				}
				fmt.Fprintf(&b, "| %s | %s |\n", name, g.Help)
			}
		}
		if len(c.Flags) > 0 {
			b.WriteString("\n")
			writeFlags(&b, c.Flags)
		}
	}
	return b.String()
}

func writeFlags(b *strings.Builder, flags []*kingpin.FlagModel) {
	b.WriteString("| Flag | Environment variable | Default | Description |\n|---|---|---|---|\n")
	for _, f := range flags {
		if f.Hidden || f.Name == "help" {
			continue
		}
		env, defaultValue := "–", "–"
		if f.Envar != "" {
			env = "`" + f.Envar + "`"
		}
		switch {
		case len(f.Default) > 0:
			defaultValue = "`" + strings.Join(f.Default, ",") + "`"
		case f.Required:
			defaultValue = "required"
		}
		fmt.Fprintf(b, "| `--%s` | %s | %s | %s |\n", f.Name, env, defaultValue, f.Help)
	}
}
