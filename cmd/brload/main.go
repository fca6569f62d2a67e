package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bramleyroute/brload"
	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("brload", "Load generator and experiments.")
	run, runCommand := runFlags(app)
	experiment, experimentCommand := experimentFlags(app)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch command {
	case runCommand:
		err = run(ctx)
	case experimentCommand:
		err = experiment(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "brload:", err)
		os.Exit(1)
	}
}

func runFlags(app *kingpin.Application) (func(ctx context.Context) error, string) {
	c := app.Command("run", "Send the standard mix to entries, or directly to one engine.")
	entries := c.Flag("entry", "Caller address of an entry (repeatable).").Strings()
	engine := c.Flag("engine", "Address of a fake engine to send to instead.").String()
	p := brload.Plan{Mix: brload.StandardMix()}
	c.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&p.Seed)
	c.Flag("rate", "Mean arrivals per second.").Default("10").Float64Var(&p.Rate)
	c.Flag("length", "Time in which requests arrive.").Default("10s").DurationVar(&p.Length)
	c.Flag("limit", "Requests at most.").Default("10000").IntVar(&p.Limit)
	c.Flag("burst-period", "Time from one burst to the next; 0s for none.").Default("0s").DurationVar(&p.Season.Period)
	c.Flag("burst-length", "Length of a burst.").Default("0s").DurationVar(&p.Season.Length)
	c.Flag("burst-factor", "Rate in a burst, relative to the mean.").Default("2").Float64Var(&p.Season.Factor)
	document := c.Flag("print-config", "Print the configuration that the mix needs, and exit.").Bool()
	format := formatFlag(c)
	return func(ctx context.Context) error {
		var t brload.Target
		switch {
		case *document:
			return writeJSON(os.Stdout, p.Mix.Document())
		case p.Rate <= 0:
			return fmt.Errorf("--rate must be positive")
		case (*engine == "") == (len(*entries) == 0):
			return fmt.Errorf("either --entry or --engine is needed")
		case *engine != "":
			t = brload.Direct(p.Mix.Model, *engine)
		default:
			t = brload.Entries(*entries)
		}
		defer t.Close()
		r := brload.Account(t.Name, p.Length, brload.Play(ctx, time.Now(), p.Arrivals(), t))
		if *format == "json" {
			return writeJSON(os.Stdout, r)
		}
		brload.WriteReport(os.Stdout, r)
		return nil
	}, c.FullCommand()
}

func experimentFlags(app *kingpin.Application) (func(ctx context.Context) error, string) {
	c := app.Command("experiment", "Start a small system on loopback and measure it.")
	name := c.Arg("name", "overload, headofline, prefill, latency or throughput.").Required().Enum(brload.Experiments()...)
	x := brload.Experiment{}
	c.Flag("bin-dir", "Folder of the built bramleyroute and brfake.").Required().ExistingDirVar(&x.Binaries)
	c.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&x.Seed)
	c.Flag("length", "Time in which the requests of a phase arrive.").Default("5s").DurationVar(&x.Length)
	c.Flag("load", "Multiple of the capacity (repeatable); the experiment's own without any.").Float64ListVar(&x.Loads)
	c.Flag("capacity", "Requests per second taken as the capacity, so that runs have the same arrivals; measured if 0.").Default("0").Float64Var(&x.Capacity)
	format := formatFlag(c)
	return func(ctx context.Context) error {
		x.Out = os.Stdout
		if *format == "json" {
			x.Out = io.Discard
		}
		r, err := brload.Run(ctx, *name, x)
		if *format == "json" && r.Name != "" {
			if werr := writeJSON(os.Stdout, r); werr != nil {
				return werr
			}
		}
		return err
	}, c.FullCommand()
}

func formatFlag(c *kingpin.CmdClause) *string {
	return c.Flag("format", "table or json.").Default("table").Enum("table", "json")
}

func writeJSON[T any](w io.Writer, v T) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
