package brfake_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brfake"
	"bramleyroute/brwire"
)

func serve(tb testing.TB, c brfake.Config) (*brfake.Endpoint, string) {
	tb.Helper()
	e := brfake.New(c)
	srv := httptest.NewUnstartedServer(e.Handler())
	srv.Config.ConnContext = e.ConnContext
	srv.Start()
	tb.Cleanup(func() { e.Close(); srv.Close() })
	return e, srv.URL
}

func send[T any](tb testing.TB, url, id string, body T) *http.Response {
	tb.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		tb.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(string(b)))
	req.Header.Set(brengine.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func get(tb testing.TB, url string) *http.Response {
	tb.Helper()
	resp, err := http.Get(url)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func readStream(tb testing.TB, resp *http.Response) (text string, usage brengine.Usage) {
	tb.Helper()
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == brengine.DoneMarker {
			return text, usage
		}
		var c brengine.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			tb.Fatal(err)
		}
		text += c.Choices[0].Text
		if c.Usage != nil {
			usage = *c.Usage
		}
	}
	tb.Fatal("stream ended without the done marker")
	return "", usage
}

// TestCacheAndCounts guards against wrong cache results or counts, which would hide
// wasted prefill and duplicate dispatches in every experiment.
func TestCacheAndCounts(t *testing.T) {
	e, url := serve(t, brfake.Config{Kind: brwire.KindEngine, Model: "m", CacheBlocks: 2})
	prompt := strings.Repeat("w ", 130)
	for i, cached := range []int{0, 128} {
		id := fmt.Sprintf("request-%d", i)
		text, usage := readStream(t, send(t, url+brengine.PathCompletions, id, brengine.Completion{Prompt: prompt, MaxTokens: 5, Stream: true}))
		if text != brfake.Text(id, 0, 5) {
			t.Errorf("text is %q, want the generated tokens 0 to 4", text)
		}
		if want := (brengine.Usage{PromptTokens: 130, CachedTokens: cached, CompletionTokens: 5}); usage != want {
			t.Errorf("usage is %+v, want %+v", usage, want)
		}
	}
	send(t, url+brengine.PathCompletions, "request-0", brengine.Completion{Prompt: "again", MaxTokens: 1, Stream: true})
	if c := e.Counts(); c.Requests["request-0"] != 2 || c.Duplicates != 1 || c.PrefillComputed != 132 || c.PrefillCached != 128 {
		t.Errorf("counts are %+v, want request-0 twice, 1 duplicate, 132 tokens computed and 128 cached", c)
	}
}

// TestOrders guards against orders that ignore the fencing token or the injected
// faults.
func TestOrders(t *testing.T) {
	e, url := serve(t, brfake.Config{Kind: brwire.KindEngine, Version: "v1", ChecksFencing: true})
	order := func(id, version string, token uint64) int {
		return send(t, url+brengine.PathOrders, "", brengine.Order{OrderID: id, Kind: brengine.OrderLoadVersion, Version: version, FencingToken: token}).StatusCode
	}
	if s := order("a", "v2", 5); s != http.StatusOK {
		t.Fatalf("order: status is %d, want 200", s)
	}
	if s := order("b", "v3", 4); s != http.StatusConflict {
		t.Errorf("order with a stale fencing token: status is %d, want 409", s)
	}
	e.SetFault(brfake.FaultRequest{Faults: brfake.Faults{RefuseOrders: true}})
	if s := order("c", "v3", 6); s != http.StatusConflict {
		t.Errorf("order refused by an injected fault: status is %d, want 409", s)
	}
	e.SetFault(brfake.FaultRequest{Version: "v4", Faults: brfake.Faults{FailLoad: "v4"}})
	e.SetFault(brfake.FaultRequest{})
	for _, step := range []struct{ load, serves string }{{"v2", "v2"}, {"v4", "v2"}} {
		if s := order("load-"+step.load, step.load, 7); s != http.StatusOK {
			t.Fatalf("order: status is %d, want 200", s)
		}
		var s brengine.State
		for s.Loading = step.load; s.Loading != ""; {
			s = brengine.State{}
			resp := get(t, url+brengine.PathState)
			if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
				t.Fatal(err)
			}
		}
		if s.Version != step.serves {
			t.Errorf("after the load of %s the served version is %s, want %s", step.load, s.Version, step.serves)
		}
	}
	if c := e.Counts(); c.Orders != 5 || c.OrdersRefused != 2 {
		t.Errorf("counts are %+v, want 5 orders, 2 of them refused", c)
	}
}

// TestAnnouncedLoadLag guards against announced load figures that are more recent
// than LoadLag permits.
func TestAnnouncedLoadLag(t *testing.T) {
	got := make(chan brwire.Announce, 16)
	daemon := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a brwire.Announce
		_ = json.NewDecoder(r.Body).Decode(&a)
		got <- a
	}))
	defer daemon.Close()
	_, url := serve(t, brfake.Config{Kind: brwire.KindEngine, EndpointID: "e", LoadLag: 10 * time.Second,
		CacheBlocks: 8, Daemons: []string{strings.TrimPrefix(daemon.URL, "http://")}})
	readStream(t, send(t, url+brengine.PathCompletions, "r", brengine.Completion{Prompt: strings.Repeat("w ", 64), MaxTokens: 1, Stream: true}))
	first, second := <-got, <-got
	if first.Sequence != 1 || second.Sequence != 2 || first.Incarnation != second.Incarnation {
		t.Errorf("announcements are %+v, %+v; want sequences 1 and 2 of one incarnation", first, second)
	}
	if second.MeasuredAgoMS < 900 {
		t.Errorf("load is %d ms old, want at least 900 ms, the age of the first measurement", second.MeasuredAgoMS)
	}
	if len(second.CacheEvents) != 1 || len(second.CacheEvents[0].Hashes) != 1 {
		t.Errorf("cache events are %+v, want one event with one hash", second.CacheEvents)
	}
}

func Example() {
	e := brfake.New(brfake.Config{Kind: brwire.KindEngine, EndpointID: "e1", Model: "m"})
	defer e.Close()
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	resp, err := http.Get(srv.URL + brengine.PathState)
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	var s brengine.State
	_ = json.NewDecoder(resp.Body).Decode(&s)
	fmt.Println(s.EndpointID, s.Model, brfake.Text("0000000000ab", 0, 2))
	// Output: e1 m 000000ab:0 000000ab:1
}
