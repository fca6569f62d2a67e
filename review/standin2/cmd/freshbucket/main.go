//go:build review

// Command freshbucket is the case of review/10: a tenant sends many times its quota while the
// process of one machine is killed and started again.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"time"

	"bramleyroute/review/standin2/world"
)

const (
	rate    = 20_000  // tokens a second
	burst   = 400_000 // tokens
	tokens  = 2_000   // of one request
	windowS = 8
)

func main() {
	record := flag.String("record", "record.txt", "file")
	perSecond := flag.Int("per-second", 200, "requests a second of the tenant, at all machines")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	w := world.New(*record)
	w.Tolerance = 1
	w.Add(4, 4)
	tenant := world.Tenant("t1", "key-1")
	tenant["rate_per_s"], tenant["burst"] = rate, burst
	w.PutConfig(world.Config(1, []map[string]any{world.Route("book", "/book/", "unsafe", "desk", 2000)}, []map[string]any{world.Service("desk")}, tenant))
	var endpoints []*world.Endpoint
	for i := range 4 {
		endpoints = append(endpoints, w.AddEndpoint(101+i, "desk", &world.Endpoint{Work: 15 * time.Millisecond, Slots: 6}))
	}
	w.AwaitReady(15 * time.Second)
	time.Sleep(5 * time.Second)
	ctx, stop := context.WithTimeout(context.Background(), 12*time.Second)
	defer stop()
	done := make(chan []world.Answer)
	go func() {
		done <- w.Load(ctx, *perSecond, "/book/x", "key-1", 2*time.Second, "X-Bramleyroute-Token-Count", fmt.Sprintf("%d,100", tokens-100))
	}()
	if trouble {
		time.Sleep(2 * time.Second)
		d := w.Daemons[0]
		w.Logf("%s is killed", d.Name)
		d.Kill()
		time.Sleep(500 * time.Millisecond)
		d.Start()
	}
	answers := <-done
	sent := map[string]time.Time{}
	status := map[int]int{}
	for _, a := range answers {
		sent[a.ID] = a.SentAt
		status[a.Status]++
	}
	var at []time.Time // of runs
	for _, e := range endpoints {
		for _, r := range e.AllRuns() {
			at = append(at, r.At)
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	most := 0
	for i := range at {
		n := sort.Search(len(at), func(k int) bool { return at[k].Sub(at[i]) > windowS*time.Second }) - i
		most = max(most, n*tokens)
	}
	allowed := (rate*windowS+burst)*1.1 + 110_000
	line := fmt.Sprintf("most tokens that ran in %d s: %d, allowed %.0f; answers by status: %v", windowS, most, allowed, status)
	w.Logf("%s", line)
	fmt.Println(line)
	if float64(most) > allowed {
		w.Logf("RULE BROKEN: QUOTA")
		w.End(1)
	}
	w.End(0)
}
