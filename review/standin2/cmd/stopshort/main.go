//go:build review

// Command stopshort is the case of review/8: many callers whose chunked bodies stop just short
// of their end, and ordinary callers beside them.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/review/standin2/world"
)

func main() {
	record := flag.String("record", "record.txt", "file")
	callers := flag.Int("callers", 2500, "number of callers that stop short of the end of their bodies")
	seconds := flag.Int("seconds", 20, "time for which they go on")
	pause := flag.Duration("pause", 100*time.Millisecond, "pause of a caller before its next try")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	w := world.New(*record)
	w.Tolerance = 1
	w.Add(4, 4)
	w.PutConfig(world.Config(1, []map[string]any{world.Route("book", "/book/", "unsafe", "desk", 6000)},
		[]map[string]any{world.Service("desk")}, world.Tenant("t1", "key-1")))
	for i := range 2 {
		w.AddEndpoint(101+i, "desk", &world.Endpoint{Work: 15 * time.Millisecond, Slots: 6})
	}
	w.AwaitReady(15 * time.Second)
	time.Sleep(2 * time.Second)
	d := w.Daemons[0]
	begin := time.Now().Add(3 * time.Second) // of the judgement
	end := begin.Add(time.Duration(*seconds) * time.Second)
	var wg sync.WaitGroup
	var held atomic.Int64
	if trouble {
		w.Logf("%d callers begin to send bodies that stop short of their end", *callers)
		for i := range *callers {
			wg.Go(func() {
				for j := 0; time.Now().Before(end); j++ {
					stopShort(d.Front(), fmt.Sprintf("short-%d-%d", i, j), end, &held)
					time.Sleep(*pause)
				}
			})
		}
	}
	var asked, answered, refused atomic.Int64
	for i := range 10 { // ordinary callers of this daemon
		wg.Go(func() {
			time.Sleep(time.Until(begin) + time.Duration(i)*30*time.Millisecond)
			for j := 0; time.Now().Before(end); j++ {
				asked.Add(1)
				deadline := time.Now().Add(6 * time.Second)
				for try := 0; try < 3; try++ { // a few tries within the deadline, each on a new connection
					id := fmt.Sprintf("ordinary-%d-%d-%d", i, j, try)
					status, retryAfter, err := ordinary(d.Front(), id, deadline)
					w.Logf("%s: status %d, error %v", id, status, err)
					if status == 200 {
						answered.Add(1)
						break
					}
					if status != 0 {
						refused.Add(1)
					}
					time.Sleep(retryAfter)
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	w.Logf("ordinary callers: %d requests, %d answered with success, %d tries refused; short callers: %d requests; ended: %v",
		asked.Load(), answered.Load(), refused.Load(), held.Load(), d.Ended())
	fmt.Printf("ordinary callers: %d requests, %d answered with success, %d tries refused; %d MB\n", asked.Load(), answered.Load(), refused.Load(), d.AnonymousMB())
	if d.Ended() || 4*answered.Load() < asked.Load() { // a quarter, as RECOVER says of what is served
		w.Logf("RULE BROKEN: ordinary callers get no answers")
		w.End(1)
	}
	w.End(0)
}

// ordinary sends one usual request.
func ordinary(address, id string, deadline time.Time) (status int, retryAfter time.Duration, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 200 * time.Millisecond, err
	}
	defer c.Close()
	_ = c.SetDeadline(deadline)
	fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Bramleyroute-Request-Id: %s\r\nX-Bramleyroute-Deadline-Ms: %d\r\nApi-Key: key-1\r\nContent-Length: 5\r\n\r\nhello",
		id, max(1, time.Until(deadline).Milliseconds()))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 200 * time.Millisecond, err
	}
	b, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != 200 {
		err = errors.New(string(b))
	}
	var after float64
	_, _ = fmt.Sscanf(res.Header.Get("Retry-After"), "%g", &after)
	return res.StatusCode, min(2*time.Second, time.Duration(after*float64(time.Second))), err
}

// stopShort sends a header and a chunk, and stays open until the daemon ends the request.
func stopShort(address, id string, end time.Time, held *atomic.Int64) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(end)
	held.Add(1)
	_, err = fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Bramleyroute-Request-Id: %s\r\nX-Bramleyroute-Deadline-Ms: 6000\r\nApi-Key: key-1\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", id) // the last chunk doesn't come
	if err == nil {
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
		}
	}
}
