package brproxy

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"bramleyroute/brconn"
	"bramleyroute/brplace"
	"bramleyroute/brpolicy"
)

// TestTooLargeForMemory guards against sending a request that no endpoint can hold, against a
// refusal that doesn't promise that it hasn't run, and against a bound that nobody asked for.
func TestTooLargeForMemory(t *testing.T) {
	policy := testPolicy()
	policy.Services[0].Engine = &brpolicy.Engine{Slots: 4, KVCapacity: 1000}
	for _, test := range []struct {
		limited bool
		hint    int // 0 for none: a typical part of the maximum is a guess, and no reason to refuse
		refused bool
	}{{true, 11, true}, {true, 10, false}, {true, 0, false}, {false, 11, false}} {
		dialect := testDialect
		dialect.Decode = func(*http.Request) (CallParams, error) {
			return CallParams{Key: "k", PromptTokens: 990, MaxOutputTokens: 1000, OutputTokensHint: test.hint}, nil
		}
		runs := 0
		endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }))
		p := New(Config{Dialect: dialect, Pool: &brconn.Pool{}, LimitMemory: test.limited})
		p.SetPolicy(brpolicy.Compile(policy))
		p.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{ID: "e0", Service: "s", Address: endpoint.Listener.Addr().String(), Slots: 4}})
		r := httptest.NewRequest("POST", "http://h/once/", nil)
		r.RequestURI = "/once/"
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		p.Close()
		endpoint.Close()
		refused := w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") != "" && runs == 0
		if refused != test.refused || p.Stats().TooLarge.Load() > 0 != refused {
			t.Errorf("%+v: status %d, Retry-After %q, ran %d times", test, w.Code, w.Header().Get("Retry-After"), runs)
		}
	}
}
