//go:build review

package world

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Answer is what a caller got for one request.
type Answer struct {
	ID, Daemon, Body string
	Status           int
	SentAt           time.Time
	Err              error
}

// Load sends perSecond requests a second with the given path and key to the daemons in turn
// until ctx ends, and returns the answers. The header holds names and values of further fields.
func (w *World) Load(ctx context.Context, perSecond int, path, key string, deadline time.Duration, header ...string) []Answer {
	var mu sync.Mutex
	var answers []Answer
	var wg sync.WaitGroup
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}, Timeout: deadline}
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		<-tick.C
		d := w.Daemons[i%len(w.Daemons)]
		wg.Go(func() {
			a := Answer{ID: fmt.Sprintf("%s%06d", path[1:2], i), Daemon: d.Name, SentAt: time.Now()}
			r, err := http.NewRequest("POST", "http://"+d.Front()+path, strings.NewReader("hello"))
			Must(err)
			r.Host = "shop.example"
			r.Header.Set("X-Bramleyroute-Request-Id", a.ID)
			r.Header.Set("X-Bramleyroute-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
			r.Header.Set("Api-Key", key)
			for k := 0; k+1 < len(header); k += 2 {
				r.Header.Set(header[k], header[k+1])
			}
			res, err := c.Do(r)
			if err == nil {
				var b []byte
				b, err = io.ReadAll(res.Body)
				res.Body.Close()
				a.Status, a.Body = res.StatusCode, string(b)
			}
			a.Err = err
			w.Logf("%s at %s: status %d %.40q, error %v", a.ID, a.Daemon, a.Status, a.Body, err)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	wg.Wait()
	return answers
}
