package broperator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/brpeer"
)

// Guards against an error kind or field that is lost between a daemon and
// bramleyctl, and against unknown fields and missing keys that are accepted.
func TestHandle(t *testing.T) {
	mux := http.NewServeMux()
	Handle(mux, brpeer.Keys{"k"}, "POST /x", func(ctx context.Context, a AbortRollout) (Accepted, error) {
		if a.RolloutID == "taken" {
			return Accepted{}, brerror.New(brerror.RevisionConflict, "current revision is 7").WithField("rollout_id")
		}
		return Accepted{CommandID: a.CommandID, Revision: 3}, nil
	})
	s := httptest.NewServer(mux)
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	got, err := Call[AbortRollout, Accepted](ctx, s.URL, brpeer.Keys{"k"}, "POST", "/x", AbortRollout{CommandID: "c"})
	if err != nil || got != (Accepted{CommandID: "c", Revision: 3}) {
		t.Errorf("Call returned %+v and error %v, want command c with revision 3", got, err)
	}
	_, err = Call[AbortRollout, Accepted](ctx, s.URL, brpeer.Keys{"k"}, "POST", "/x", AbortRollout{RolloutID: "taken"})
	if !brerror.Is(err, brerror.RevisionConflict) || brerror.From(err).Field != "rollout_id" {
		t.Errorf("got error %v, want revision_conflict with the field rollout_id", err)
	}
	_, err = Call[PutConfig, Accepted](ctx, s.URL, brpeer.Keys{"k"}, "POST", "/x", PutConfig{})
	if !brerror.Is(err, brerror.InvalidRequest) || !strings.Contains(err.Error(), "expected_revision") {
		t.Errorf("got error %v, want invalid_request that names expected_revision", err)
	}
	_, err = Call[AbortRollout, Accepted](ctx, s.URL, nil, "POST", "/x", AbortRollout{})
	if !brerror.Is(err, brerror.Unauthorized) {
		t.Errorf("got error %v, want unauthorized", err)
	}
}
