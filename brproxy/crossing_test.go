package brproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramleyroute/brpolicy"
	"bramleyroute/brserver"
)

// TestClosedConnectionHasNoDispatch guards against closing an idle connection of a caller
// whose request, which arrives at the same time, is sent to an endpoint: by the idle timeout,
// or by a stop.
func TestClosedConnectionHasNoDispatch(t *testing.T) {
	const conns, idleTimeout = 300, 50 * time.Millisecond
	for _, stop := range []bool{false, true} {
		t.Run(fmt.Sprintf("stop %v", stop), func(t *testing.T) {
			var mu sync.Mutex
			dispatched := map[string]bool{}
			s := newSystem(t, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				dispatched[r.Header.Get("Id")] = true
				mu.Unlock()
				io.WriteString(w, "ok")
			})
			s.proxy.SetPolicy(policyWithLimits(brpolicy.Limits{IdleTimeout: idleTimeout}))
			address := s.serve(t)
			var lost, answered atomic.Int32
			var wg sync.WaitGroup
			for i := range conns {
				wg.Go(func() {
					c, err := net.Dial("tcp", address)
					if err != nil {
						t.Error(err)
						return
					}
					defer c.Close()
					reader := bufio.NewReader(c)
					request := func(id string) bool {
						fmt.Fprintf(c, "POST /never/ HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nContent-Length: 0\r\n\r\n", id)
						a, err := http.ReadResponse(reader, nil)
						if err != nil {
							return false
						}
						defer a.Body.Close()
						_, err = io.Copy(io.Discard, a.Body)
						return err == nil
					}
					if !request("first" + strconv.Itoa(i)) {
						t.Error("first request has no answer")
						return
					}
					// Around the moments at which the connections are closed.
					time.Sleep(idleTimeout + brserver.IdleGrace + time.Duration(i)*2*time.Millisecond/3)
					id := strconv.Itoa(i)
					if request(id) {
						answered.Add(1)
						return
					}
					time.Sleep(50 * time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					if dispatched[id] {
						lost.Add(1)
					}
				})
			}
			if stop {
				time.Sleep(idleTimeout + brserver.IdleGrace + 20*time.Millisecond)
				s.proxy.CloseIdle()
			}
			wg.Wait()
			if n := lost.Load(); n != 0 {
				t.Errorf("%d requests were sent to the endpoint and have no answer, want none", n)
			}
			t.Logf("%d of %d answered", answered.Load(), conns)
		})
	}
}
