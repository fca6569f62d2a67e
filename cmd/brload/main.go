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
	c.Flag("seed", "Random seed of the arrivals.").Default("1").Uint64Var(&p.Seed)
	c.Flag("rate", "Mean arrival rate in requests per second.").Default("10").Float64Var(&p.Rate)
	c.Flag("length", "Duration in which requests arrive.").Default("10s").DurationVar(&p.Length)
	c.Flag("limit", "Maximum number of requests.").Default("10000").IntVar(&p.Limit)
	c.Flag("burst-period", "Period of bursts; 0s for no bursts.").Default("0s").DurationVar(&p.Bursts.Period)
	c.Flag("burst-length", "Duration of a burst.").Default("0s").DurationVar(&p.Bursts.Length)
	c.Flag("burst-factor", "Rate during a burst, as a multiple of the mean.").Default("2").Float64Var(&p.Bursts.Factor)
	printConfig := c.Flag("print-config", "Print the configuration required by the mix and exit.").Bool()
	format := formatFlag(c)
	return func(ctx context.Context) error {
		var t brload.Target
		switch {
		case *printConfig:
			return writeJSON(os.Stdout, p.Mix.Document())
		case p.Rate <= 0:
			return fmt.Errorf("--rate must be greater than 0")
		case (*engine == "") == (len(*entries) == 0):
			return fmt.Errorf("exactly one of --entry and --engine is required")
		case *engine != "":
			t = brload.DirectTarget(p.Mix.Model, *engine)
		default:
			t = brload.EntryTarget(*entries)
		}
		defer t.Close()
		r := brload.Summarize(t.Name, p.Length, brload.SendArrivals(ctx, time.Now(), p.Arrivals(), t))
		if *format == "json" {
			return writeJSON(os.Stdout, r)
		}
		brload.WriteReport(os.Stdout, r)
		return nil
	}, c.FullCommand()
}

func experimentFlags(app *kingpin.Application) (func(ctx context.Context) error, string) {
	c := app.Command("experiment", "Start a small system on loopback addresses and measure it.")
	name := c.Arg("name", "overload, headofline, prefill, latency or throughput.").Required().Enum(brload.Experiments()...)
	x := brload.Experiment{}
	c.Flag("bin-dir", "Directory with the executables bramleyroute and brfake.").Required().ExistingDirVar(&x.Binaries)
	c.Flag("seed", "Random seed of the arrivals.").Default("1").Uint64Var(&x.Seed)
	c.Flag("length", "Duration in which the requests of a phase arrive.").Default("5s").DurationVar(&x.Length)
	c.Flag("load", "Load as a multiple of the capacity (repeatable). Default: the loads of the experiment.").Float64ListVar(&x.Loads)
	c.Flag("capacity", "Capacity in requests per second, set to give several runs the same arrivals; 0 to measure it.").Default("0").Float64Var(&x.Capacity)
	format := formatFlag(c)
	return func(ctx context.Context) error {
		x.Out = os.Stdout
		if *format == "json" {
			x.Out = io.Discard
		}
		r, err := brload.Run(ctx, *name, x)
		if *format == "json" && r.Name != "" {
			if writeErr := writeJSON(os.Stdout, r); writeErr != nil {
				return writeErr
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
