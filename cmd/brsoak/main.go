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

type settings struct {
	program  string
	seeds    uint64
	first    uint64
	parallel int
	callers  int
	size     brsoak.Size
	network  int
	keep     string
}

// result is how one seed ended.
type result uint8

const (
	clean result = iota
	broken
	notRun
)

func main() {
	app := kingpin.New("brsoak", "Fault soak of bramleyroute's real programs on loopback.")
	app.DefaultEnvars()
	var s settings
	app.Flag("program", "Program of a daemon; built when empty.").StringVar(&s.program)
	app.Flag("seeds", "Number of seeds.").Default("1").Uint64Var(&s.seeds)
	app.Flag("first", "First seed.").Default("1").Uint64Var(&s.first)
	app.Flag("parallel", "Seeds that run at the same time.").Default("2").IntVar(&s.parallel)
	app.Flag("callers", "Callers of each fleet.").Default("16").IntVar(&s.callers)
	app.Flag("daemons", "Daemons of each fleet.").Default("5").IntVar(&s.size.Daemons)
	app.Flag("replicas", "Daemons with a replica.").Default("3").IntVar(&s.size.Replicas)
	app.Flag("endpoints", "Endpoints of each fleet.").Default("6").IntVar(&s.size.Endpoints)
	app.Flag("network", "First of the loopback networks, one for each parallel seed; runs at the same time need different ones.").
		Default("0").IntVar(&s.network)
	app.Flag("keep", "Folder for the processes' files; those of clean seeds are removed.").Default("brsoak-runs").StringVar(&s.keep)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	count, err := s.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "brsoak:", err)
		os.Exit(2)
	}
	fmt.Printf("%d seeds: %d without a broken promise, %d with one, %d not run\n", s.seeds, count[clean], count[broken], count[notRun])
	if count[clean] < int(s.seeds) {
		os.Exit(1)
	}
}

// run plays the seeds and returns how many ended in which way.
func (s settings) run() (count map[result]int, err error) {
	if s.program == "" {
		dir, err := os.MkdirTemp("", "brsoak")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		s.program = filepath.Join(dir, "daemon")
		if out, err := exec.Command("go", "build", "-o", s.program, "./platform/cmd/bramleyroute-platform").CombinedOutput(); err != nil {
			return nil, fmt.Errorf("build: %w: %s", err, out)
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	next := s.first
	count = map[result]int{}
	for i := range s.parallel {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed >= s.first+s.seeds {
					return
				}
				r := s.play(seed, s.network+i)
				mu.Lock()
				count[r]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return count, nil
}

// play plays one seed.
func (s settings) play(seed uint64, network int) result {
	dir := filepath.Join(s.keep, fmt.Sprint("seed-", seed))
	// The disks of an earlier run hold its policies.
	err := os.RemoveAll(dir)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return notRun
	}
	report, err := brsoak.Run(context.Background(), brsoak.Config{
		Seed: seed, Size: s.size, Callers: s.callers, Dir: dir, Network: network, Adapter: soak.Adapter(s.program),
		Logf: func(format string, args ...any) { fmt.Printf(format+"\n", args...) },
	})
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return notRun
	}
	fmt.Printf("seed %d: %d faults, %d of %d requests answered, %d promises broken\n",
		seed, len(report.Faults), report.Good, report.Attempts, len(report.Violations))
	for i, v := range report.Violations {
		if i == 10 {
			fmt.Printf("seed %d: and more\n", seed)
			break
		}
		fmt.Printf("seed %d: %s: %s\n", seed, v.Promise, v.Detail)
	}
	if len(report.Violations) > 0 {
		return broken
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
	}
	return clean
}
