//go:build review

// Command manyfields is the case of review/7: callers whose request headers have many short
// fields, inside max_header_bytes, and whose chunked bodies stop just short of their end.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleyroute/review/standin2/world"
)

func main() {
	record := flag.String("record", "record.txt", "file")
	callers := flag.Int("callers", 900, "number of callers that stop short of the end of their bodies")
	seconds := flag.Int("seconds", 15, "time for which they go on")
	oneField := flag.Bool("one-field", false, "send as many bytes in one long field, for comparison")
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
	end := time.Now().Add(time.Duration(*seconds) * time.Second)

	// The platform: a process that uses more than memory_mb is killed.
	var killed, peak atomic.Int64
	go func() {
		for i := 0; ; i++ {
			now := d.AnonymousMB()
			peak.Store(max(peak.Load(), int64(now)))
			if i%20 == 0 {
				w.Logf("%s uses %d MB of memory_mb=%d", d.Name, now, w.MemoryMB)
			}
			if now > w.MemoryMB && killed.Load() == 0 {
				w.Logf("%s uses %d MB, more than memory_mb=%d: killed", d.Name, now, w.MemoryMB)
				killed.Store(int64(now))
				d.Kill()
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()

	var wg sync.WaitGroup
	var answered, unanswered, refused atomic.Int64
	for i := range 5 { // ordinary callers of this daemon
		wg.Go(func() {
			for j := 0; time.Now().Before(end) && killed.Load() == 0; j++ {
				id := fmt.Sprintf("ordinary-%d-%d", i, j)
				status, err := ordinary(d.Front(), id)
				w.Logf("%s: status %d, error %v", id, status, err)
				switch {
				case status == 200:
					answered.Add(1)
				case status != 0:
					refused.Add(1)
				default:
					unanswered.Add(1)
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	var held, turned atomic.Int64
	if trouble {
		time.Sleep(time.Second)
		fields := shortFields(15_900)
		if *oneField {
			fields = "Filler: " + strings.Repeat("x", len(fields)-10) + "\r\n"
		}
		w.Logf("%d callers send a header of %d bytes with %d fields each", *callers, len(fields)+200, strings.Count(fields, "\n"))
		for i := range *callers {
			wg.Go(func() {
				for j := 0; time.Now().Before(end) && killed.Load() == 0; j++ {
					stopShort(d.Front(), fmt.Sprintf("short-%d-%d", i, j), fields, &held, &turned)
					time.Sleep(500 * time.Millisecond) // the Retry-After of a refusal
				}
			})
		}
	}
	wg.Wait()
	w.Logf("ordinary callers: %d answered, %d refused, %d without an answer; short callers: %d requests, %d refused; peak of %s: %d MB; ended: %v",
		answered.Load(), refused.Load(), unanswered.Load(), held.Load(), turned.Load(), d.Name, peak.Load(), d.Ended())
	fmt.Printf("peak %d MB of %d, ordinary callers: %d answered, %d refused, %d without an answer\n",
		peak.Load(), w.MemoryMB, answered.Load(), refused.Load(), unanswered.Load())
	switch {
	case killed.Load() > 0 || d.Ended():
		w.Logf("RULE BROKEN: the process has used more than memory_mb")
		w.End(1)
	case answered.Load() == 0:
		w.Logf("no ordinary caller got an answer")
		w.End(1)
	}
	w.End(0)
}

// shortFields returns header fields with n bytes at most and different names.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len()+6 <= n; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%26], letters[i/26%26], letters[i/676%26])
	}
	return b.String()
}

// ordinary sends one usual request.
func ordinary(address, id string) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Bramleyroute-Request-Id: %s\r\nX-Bramleyroute-Deadline-Ms: 6000\r\nApi-Key: key-1\r\nContent-Length: 5\r\n\r\nhello", id)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// stopShort sends a header and a chunk, and stays open until the daemon ends the request.
func stopShort(address, id, fields string, held, turned *atomic.Int64) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	held.Add(1)
	head := "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Bramleyroute-Request-Id: " + id +
		"\r\nX-Bramleyroute-Deadline-Ms: 6000\r\nApi-Key: key-1\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n"
	if _, err := io.WriteString(c, head+strconv.FormatInt(5, 16)+"\r\nhello\r\n"); err != nil { // the last chunk doesn't come
		return
	}
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		if res.StatusCode == 503 || res.StatusCode == 408 {
			turned.Add(1)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
}
