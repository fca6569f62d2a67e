package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"bramleyroute/brsoak"
	"bramleyroute/platform/soak"

	"github.com/alecthomas/kingpin/v2"
)

type options struct {
	program      string
	seeds        uint64
	firstSeed    uint64
	parallel     int
	callers      int
	size         brsoak.Size
	firstNetwork int
	outputDir    string
}

// outcome is the result of the run of one seed.
type outcome uint8

const (
	passed   outcome = iota
	violated         // a guarantee was violated
	notRun           // the run could not start or complete
)

func main() {
	app := kingpin.New("brsoak", "Soak test of bramleyroute's programs under injected faults, on loopback addresses.")
	app.DefaultEnvars()
	var o options
	app.Flag("program", "Executable of a daemon; built if empty.").StringVar(&o.program)
	app.Flag("seeds", "Number of seeds.").Default("1").Uint64Var(&o.seeds)
	app.Flag("first", "First seed.").Default("1").Uint64Var(&o.firstSeed)
	app.Flag("parallel", "Number of seeds that run concurrently.").Default("2").IntVar(&o.parallel)
	app.Flag("callers", "Number of callers of each fleet.").Default("16").IntVar(&o.callers)
	app.Flag("daemons", "Number of daemons of each fleet.").Default("5").IntVar(&o.size.Daemons)
	app.Flag("replicas", "Number of daemons with a replica.").Default("3").IntVar(&o.size.Replicas)
	app.Flag("endpoints", "Number of endpoints of each fleet.").Default("6").IntVar(&o.size.Endpoints)
	app.Flag("network", "Number of the first loopback network. Each parallel seed uses one, so concurrent runs of brsoak need separate ranges.").
		Default("0").IntVar(&o.firstNetwork)
	app.Flag("keep", "Directory for the files of the processes. The files of seeds without violations are removed.").Default("brsoak-runs").StringVar(&o.outputDir)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	counts, err := o.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "brsoak:", err)
		os.Exit(2)
	}
	fmt.Printf("%d seeds: %d without violations, %d with violations, %d not run\n", o.seeds, counts[passed], counts[violated], counts[notRun])
	if counts[passed] < int(o.seeds) {
		os.Exit(1)
	}
}

// run runs all seeds and returns the number of seeds by outcome.
func (o options) run() (counts map[outcome]int, err error) {
	if o.program == "" {
		dir, err := os.MkdirTemp("", "brsoak")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		o.program = filepath.Join(dir, "daemon")
		if out, err := exec.Command("go", "build", "-o", o.program, "./platform/cmd/bramleyroute-platform").CombinedOutput(); err != nil {
			return nil, fmt.Errorf("build the daemon: %w: %s", err, out)
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	next := o.firstSeed
	counts = map[outcome]int{}
	for i := range o.parallel {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed >= o.firstSeed+o.seeds {
					return
				}
				r := o.runSeed(seed, o.firstNetwork+i)
				mu.Lock()
				counts[r]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return counts, nil
}

// runSeed runs one seed and prints its report.
func (o options) runSeed(seed uint64, network int) outcome {
	dir := filepath.Join(o.outputDir, fmt.Sprint("seed-", seed))
	// Data directories of an earlier run would start the daemons with its policies.
	err := os.RemoveAll(dir)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return notRun
	}
	report, err := brsoak.Run(context.Background(), brsoak.Config{
		Seed: seed, Size: o.size, Callers: o.callers, Dir: dir, Network: network, Adapter: soak.Adapter(o.program),
		Logf: func(format string, args ...any) { fmt.Printf(format+"\n", args...) },
	})
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return notRun
	}
	fmt.Printf("seed %d: %d faults, %d of %d requests succeeded, %d violations\n",
		seed, len(report.Faults), report.Good, report.Attempts, len(report.Violations))
	for i, v := range report.Violations {
		if i == 10 {
			fmt.Printf("seed %d: further violations are not shown\n", seed)
			break
		}
		fmt.Printf("seed %d: %s: %s\n", seed, v.Guarantee, v.Detail)
	}
	if len(report.Violations) > 0 {
		return violated
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
	}
	return passed
}
