package brmetrics

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// TestExportTotal guards against adding the whole total again at each export, and
// against a panic when a process creates a second exporter.
func TestExportTotal(t *testing.T) {
	e := New()
	for _, total := range []int64{3, 5, 5, 2, 4} {
		e.ExportTotal(e.Scope, "", "requests", total)
	}
	if err := e.Close(); err != nil { // passes the counters to the reporter
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	if want := "bramleyroute_requests 7\n"; !strings.Contains(w.Body.String(), want) {
		t.Errorf("line %q is missing in the exported metrics:\n%s", want, w.Body.String())
	}
	if err := New().Close(); err != nil {
		t.Error(err)
	}
}
