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
	dialect := testDialect
	dialect.Decode = func(*http.Request) (CallParams, error) {
		return CallParams{Key: "k", PromptTokens: 990, MaxOutputTokens: 110}, nil
	}
	for _, limited := range []bool{true, false} {
		runs := 0
		endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }))
		p := New(Config{Dialect: dialect, Pool: &brconn.Pool{}, LimitMemory: limited})
		p.SetPolicy(brpolicy.Compile(policy))
		p.ApplyEvent(brplace.EndpointChanged{Endpoint: brplace.Endpoint{ID: "e0", Service: "s", Address: endpoint.Listener.Addr().String(), Slots: 4}})
		r := httptest.NewRequest("POST", "http://h/once/", nil)
		r.RequestURI = "/once/"
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		p.Close()
		endpoint.Close()
		refused := w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") != "" && runs == 0
		if refused != limited || p.Stats().TooLarge.Load() > 0 != limited {
			t.Errorf("limit %t: status %d, Retry-After %q, ran %d times", limited, w.Code, w.Header().Get("Retry-After"), runs)
		}
	}
}
