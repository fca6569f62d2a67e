package brctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"bramleyroute/brcheck"
	"bramleyroute/brconfig"
	"bramleyroute/broperator"
)

func (a *App) addConfig() {
	config := a.kingpin.Command("config", "Read and change the configuration.")
	a.add(config.Command("get", "Print the configuration as JSON. Its revision goes to standard error, or with --output=json around the document."), a.configGet)

	check := config.Command("check", "Check a configuration without changing anything, and show the differences from the one in force. Exit code 0 if nothing is found, 7 for warnings, 4 for errors, 5 if no daemon can be asked.")
	checkFile := check.Arg("file", "JSON file; - is standard input.").Required().String()
	offline := check.Flag("offline", "Ask no daemon: check by the rules of this build of bramleyctl, and show no differences.").Bool()
	a.add(check, func(ctx context.Context, c client) error {
		if *offline {
			return a.configCheck(ctx, *checkFile, checkOffline)
		}
		return a.configCheck(ctx, *checkFile, c.checkInForce)
	})

	diff := config.Command("diff", "Show what a configuration would change.")
	diffFile := diff.Arg("file", "JSON file; - is standard input.").Required().String()
	a.add(diff, func(ctx context.Context, c client) error { return a.configDiff(ctx, c, *diffFile) })

	apply := config.Command("apply", "Replace the configuration if its revision is the expected one.")
	applyFile := apply.Arg("file", "JSON file; - is standard input.").Required().String()
	expected := apply.Flag("expected-revision", "Revision that config get printed.").Required().Uint64()
	id := commandID(apply)
	a.add(apply, func(ctx context.Context, c client) error { return a.configApply(ctx, c, *applyFile, *expected, *id) })

	a.add(config.Command("history", "Show the accepted changes that the control replica has recorded, oldest first."), a.configHistory)
}

func (a *App) configGet(ctx context.Context, c client) error {
	conf, err := read[broperator.Empty, broperator.Config](ctx, c, "GET", broperator.PathConfig, broperator.Empty{})
	if err != nil {
		return err
	}
	if a.output == outputJSON {
		return a.printJSON(conf)
	}
	fmt.Fprintln(a.errOut, "revision", conf.Revision)
	return a.printJSON(conf.Document)
}

func (a *App) document(file string) (brconfig.Document, error) {
	data, err := a.readFile(file)
	if err != nil {
		return brconfig.Document{}, err
	}
	doc, err := brconfig.Parse(data)
	if err != nil {
		return doc, fmt.Errorf("%s: %w", file, err)
	}
	return doc, nil
}

// stdinFile is the file name of standard input. Run replaces a dash by it.
const stdinFile = "/dev/stdin"

func (a *App) readFile(file string) ([]byte, error) {
	if file == stdinFile {
		return io.ReadAll(a.in)
	}
	return os.ReadFile(file)
}

// problems has a daemon check a configuration, because the daemon's release
// determines what is valid.
func (a *App) problems(ctx context.Context, c client, file string) (broperator.Problems, error) {
	doc, err := a.document(file)
	if err != nil {
		return broperator.Problems{}, err
	}
	return read[brconfig.Document, broperator.Problems](ctx, c, "POST", broperator.PathConfigCheck, doc)
}

// configCheck prints the findings of this build, completed by the function complete.
func (a *App) configCheck(ctx context.Context, file string, complete func(context.Context, brcheck.Report, []byte) (brcheck.Report, error)) error {
	data, err := a.readFile(file)
	if err != nil {
		return err
	}
	report, incomplete := complete(ctx, brcheck.Report{Findings: brcheck.Document(data)}, data)
	if a.output == outputJSON {
		err = a.printJSON(report)
	} else {
		err = report.WriteText(a.out, file)
	}
	code := report.ExitCode()
	switch {
	case err != nil:
		return err
	case incomplete != nil && code != ExitInvalid:
		return incomplete
	case incomplete != nil:
		fmt.Fprintln(a.errOut, "bramleyctl:", incomplete)
	}
	if code != ExitOK {
		return exitCodeError{code}
	}
	return nil
}

func checkOffline(_ context.Context, r brcheck.Report, _ []byte) (brcheck.Report, error) {
	return r, nil
}

// checkInForce replaces the errors of this build by those of a daemon, because the daemon's
// release determines what is valid, and adds the differences from the configuration in force.
func (c client) checkInForce(ctx context.Context, r brcheck.Report, data []byte) (brcheck.Report, error) {
	doc, err := brconfig.Parse(data)
	if err != nil {
		return r, nil // is among the findings; daemons can't check it
	}
	conf, err := read[broperator.Empty, broperator.Config](ctx, c, "GET", broperator.PathConfig, broperator.Empty{})
	if err != nil {
		return r, err
	}
	p, err := read[brconfig.Document, broperator.Problems](ctx, c, "POST", broperator.PathConfigCheck, doc)
	if err != nil {
		return r, err
	}
	places := brcheck.FindPlaces(data)
	r = r.WithoutProblems()
	for _, x := range p.Problems {
		r.Findings = append(r.Findings, brcheck.Finding{Severity: brcheck.Error, Path: x.Field, Line: places.Line(x.Field), Message: x.Message})
	}
	r.Sort()
	r.Revision = &conf.Revision
	r.Changes = brcheck.DocumentDifferences(conf.Document, doc)
	return r, nil
}

func (a *App) configDiff(ctx context.Context, c client, file string) error {
	p, err := a.problems(ctx, c, file)
	if err != nil {
		return err
	}
	return a.print(p.Diff, func(g *tableWriter) {
		if len(p.Diff) == 0 {
			g.row("no difference")
		}
		for _, line := range p.Diff {
			g.row(line)
		}
	})
}

func (a *App) configApply(ctx context.Context, c client, file string, expected uint64, id string) error {
	doc, err := a.document(file)
	if err != nil {
		return err
	}
	id = a.printCommandID(id)
	put := broperator.PutConfig{CommandID: id, ExpectedRevision: expected, Document: doc}
	acc, err := command[broperator.PutConfig, broperator.Accepted](ctx, c, "PUT", broperator.PathConfig, id, put)
	if err != nil {
		return err
	}
	return a.print(acc, func(g *tableWriter) { g.row("accepted as revision", acc.Revision) })
}

func (a *App) configHistory(ctx context.Context, c client) error {
	entries, err := read[broperator.Empty, []broperator.HistoryEntry](ctx, c, "GET", broperator.PathHistory, broperator.Empty{})
	if err != nil {
		return err
	}
	return a.print(entries, func(g *tableWriter) {
		g.row("REVISION", "TIME", "COMMAND", "CHANGE")
		for _, e := range entries {
			if len(e.Diff) == 0 {
				g.row(e.Revision, timeText(e.At), e.CommandID, "")
			}
			for _, line := range e.Diff {
				g.row(e.Revision, timeText(e.At), e.CommandID, line)
			}
		}
	})
}
