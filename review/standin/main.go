//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0 // the rule held
	broken = 1 // the rule was broken
	failed = 2 // the case couldn't run
)

// maxDuration limits a case.
const maxDuration = 110 * time.Second

// cases holds the functions that play the cases. A function returns whether the rule was
// broken, and an error if the case couldn't run.
var cases = map[string]func(*world) (bool, error){
	"truncated": playTruncated,
	"replaced":  playReplaced,
	"stopping":  playStopping,
	"drained":   playDrained,
}

func main() {
	name := flag.String("case", "", "name of the case")
	run := flag.String("run", "", "command of a daemon, from the deploy file")
	record := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	os.Exit(play(*name, strings.Fields(*run), *record))
}

func play(name string, command []string, path string) int {
	f := cases[name]
	if f == nil || len(command) == 0 {
		fmt.Fprintln(os.Stderr, "standin: unknown case or no command")
		return failed
	}
	w, err := newWorld(command, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return failed
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		defer func() { // a panic must not leave processes behind
			if v := recover(); v != nil {
				done <- result{err: fmt.Errorf("panic: %v", v)}
			}
		}()
		b, err := f(w)
		done <- result{b, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			w.log("the case couldn't run: %v", r.err)
			return failed
		case r.broken:
			w.log("result: the rule was broken")
			return broken
		}
		w.log("result: the rule held")
		return held
	case <-time.After(maxDuration):
		w.log("the case couldn't run: it took longer than %v", maxDuration)
	case <-signals:
		w.log("the case couldn't run: interrupted")
	}
	return failed
}
