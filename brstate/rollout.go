package brstate

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
)

// Outcome is the outcome of a rollout. It is empty while the rollout is active.
type Outcome string

// Outcomes of a rollout.
const (
	Finished   Outcome = "finished"
	RolledBack Outcome = "taken_back"
)

// Limits of rollouts.
const (
	FullShare        = 1000 // per mille
	MaxEndedRollouts = 200  // number of ended rollouts that are stored
	MaxReasonBytes   = 1024
	MaxTrippedNames  = 256
)

// Rollout is a version change of a model.
type Rollout struct {
	ID            string    `cbor:"id" json:"id"`
	Model         string    `cbor:"model" json:"model"`
	Pool          string    `cbor:"pool,omitempty" json:"pool,omitempty"` // empty: all pools of the model
	From          string    `cbor:"from" json:"from"`
	To            string    `cbor:"to" json:"to"`
	FinishBy      time.Time `cbor:"finish_by" json:"finish_by"`
	StartedByMove bool      `cbor:"from_move" json:"from_move"` // started by a move in a template
	StartedAt     time.Time `cbor:"started_at" json:"started_at"`
	Stage         int       `cbor:"stage" json:"stage"`
	SharePerMille int       `cbor:"share_per_mille" json:"share_per_mille"`
	Tripped       []string  `cbor:"tripped,omitempty" json:"tripped,omitempty"` // routes on which a breaker stopped the new version
	Outcome       Outcome   `cbor:"outcome,omitempty" json:"outcome,omitempty"`
	Reason        string    `cbor:"reason,omitempty" json:"reason,omitempty"`
	EndedAt       time.Time `cbor:"ended_at" json:"ended_at"` // zero while the rollout is active
	Revision      uint64    `cbor:"revision" json:"revision"`
}

// Active reports whether r has no outcome yet.
func (r Rollout) Active() bool { return r.Outcome == "" }

func (s *State) startRollout(c StartRollout) (Rollout, error) {
	if err := checkIDs("id", c.ID, "model", c.Model, "from", c.From, "to", c.To); err != nil {
		return Rollout{}, err
	}
	switch _, exists := s.view.Rollout(c.ID); {
	case exists:
		return Rollout{}, brerror.New(brerror.InvalidRequest, "a rollout with this id exists").WithField("id")
	case c.From == c.To:
		return Rollout{}, brerror.New(brerror.InvalidRequest, "must differ from the version that is moved from").WithField("to")
	case !s.hasModel(c.Model):
		return Rollout{}, brerror.New(brerror.UnknownModel, "no model is named %q", c.Model).WithField("model")
	case !s.now.Before(c.FinishBy) || c.FinishBy.Year() > 9998:
		return Rollout{}, brerror.New(brerror.InvalidRequest, "must be in the future and before the year 9999").WithField("finish_by")
	case len(c.Pool) > MaxIDBytes:
		return Rollout{}, brerror.New(brerror.InvalidRequest, "must have at most %d bytes", MaxIDBytes).WithField("pool")
	}
	if r, ok := activeRollout(s.view.Rollouts, c.Model); ok {
		return r, brerror.New(brerror.RevisionConflict, "rollout %s of model %s has not ended", r.ID, r.Model)
	}
	return Rollout{ID: c.ID, Model: c.Model, Pool: c.Pool, From: c.From, To: c.To, FinishBy: c.FinishBy.UTC(), StartedAt: s.now, Revision: s.index}, nil
}

func (s *State) updateRollout(c UpdateRollout) (Rollout, error) {
	r, err := s.rolloutAtRevision(c.ID, c.Expected)
	if err != nil {
		return r, err
	}
	if c.SharePerMille < 0 || c.SharePerMille > FullShare || c.Stage < 0 || len(c.Tripped) > MaxTrippedNames {
		return r, brerror.New(brerror.InvalidRequest, "share of %d per mille, stage %d or %d tripped routes out of range", c.SharePerMille, c.Stage, len(c.Tripped))
	}
	if c.SharePerMille > r.SharePerMille && !s.now.Before(r.FinishBy) {
		return r, brerror.New(brerror.InvalidRequest, "share can't grow after finish_by")
	}
	r.Stage, r.SharePerMille, r.Revision = c.Stage, c.SharePerMille, s.index
	r.Tripped = slices.Compact(slices.Sorted(slices.Values(c.Tripped)))
	return r, nil
}

func (s *State) finishRollout(c FinishRollout) (Rollout, error) {
	r, err := s.rolloutAtRevision(c.ID, c.Expected)
	if err != nil {
		return r, err
	}
	if c.Outcome != Finished && c.Outcome != RolledBack {
		return r, brerror.New(brerror.InvalidRequest, "must be finished or taken_back").WithField("outcome")
	}
	if len(c.Reason) > MaxReasonBytes {
		return r, brerror.New(brerror.InvalidRequest, "must have at most %d bytes", MaxReasonBytes).WithField("reason")
	}
	// A rollout that has not finished by finish_by must be rolled back.
	if c.Outcome == Finished && s.now.After(r.FinishBy) {
		return r, brerror.New(brerror.InvalidRequest, "finish_by has passed, so the rollout can only be taken back").WithField("outcome")
	}
	r.Outcome, r.Reason, r.EndedAt, r.Revision = c.Outcome, c.Reason, s.now, s.index
	r.SharePerMille = 0
	if c.Outcome == Finished {
		r.SharePerMille = FullShare
	}
	return r, nil
}

func (s *State) rolloutAtRevision(id string, expected uint64) (Rollout, error) {
	r, ok := s.view.Rollout(id)
	switch {
	case !ok:
		return r, brerror.New(brerror.InvalidRequest, "no rollout has the id %.64q", id).WithField("id")
	case !r.Active():
		return r, brerror.New(brerror.RevisionConflict, "rollout %s is %s at revision %d", r.ID, r.Outcome, r.Revision)
	case r.Revision != expected && !s.skipRevisionCheck:
		return r, brerror.New(brerror.RevisionConflict, "rollout %s has revision %d, expected %d", r.ID, r.Revision, expected)
	}
	return r, nil
}

// updateMoveRollouts returns the rollouts to start for the moves in the templates of
// v, and the active ones with an updated FinishBy. It starts no rollout for a move
// whose date has passed, whose model has another active rollout, or for which a
// rollout has finished. A move that was rolled back is started again only if its date
// has changed since.
func (s *State) updateMoveRollouts(v View) []Rollout {
	var changed []Rollout
	for _, m := range brconfig.Moves(v.Configuration) {
		if r, ok := activeRollout(v.Rollouts, m.Model); ok {
			if r.StartedByMove && r.From == m.From && r.To == m.To && !r.FinishBy.Equal(m.FinishBy) {
				r.FinishBy, r.Revision = m.FinishBy, s.index
				changed = append(changed, r)
			}
			continue
		}
		last, ok := lastRollout(v.Rollouts, m)
		if !s.now.Before(m.FinishBy) || ok && (last.Outcome == Finished || last.FinishBy.Equal(m.FinishBy)) {
			continue
		}
		id := fmt.Sprintf("move-%s-%d", m.Model, s.index)
		changed = append(changed, Rollout{ID: id, Model: m.Model, From: m.From, To: m.To, FinishBy: m.FinishBy, StartedByMove: true, StartedAt: s.now, Revision: s.index})
	}
	return changed
}

// removableRollouts returns the sorted IDs of the oldest ended rollouts in excess of
// MaxEndedRollouts. Rollouts for a move in the current configuration are excluded, since
// they determine whether the move is started again.
func removableRollouts(v View) []string {
	moves := brconfig.Moves(v.Configuration)
	var ended []Rollout
	for _, r := range v.Rollouts {
		if !r.Active() {
			ended = append(ended, r)
		}
	}
	slices.SortFunc(ended, func(a, b Rollout) int { return int(int64(a.Revision) - int64(b.Revision)) })
	var ids []string
	for _, r := range ended[:max(0, len(ended)-MaxEndedRollouts)] {
		needed := slices.ContainsFunc(moves, func(m brconfig.Move) bool { return m.Model == r.Model && m.From == r.From && m.To == r.To })
		if !needed {
			ids = append(ids, r.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func activeRollout(rows []Rollout, model string) (Rollout, bool) {
	i := slices.IndexFunc(rows, func(r Rollout) bool { return r.Model == model && r.Active() })
	if i < 0 {
		return Rollout{}, false
	}
	return rows[i], true
}

// lastRollout returns the most recent rollout of the model and versions of m.
func lastRollout(rows []Rollout, m brconfig.Move) (last Rollout, ok bool) {
	for _, r := range rows {
		if r.Model == m.Model && r.From == m.From && r.To == m.To && (!ok || r.Revision > last.Revision) {
			last, ok = r, true
		}
	}
	return last, ok
}

func (s *State) hasModel(name string) bool {
	return slices.ContainsFunc(s.view.Configuration.Models, func(m brconfig.Model) bool { return m.Name == name })
}

// checkIDs returns an invalid_request error for the first value that is empty, too
// long or contains control characters. Its arguments alternate between the name of a
// field and its value.
func checkIDs(pairs ...string) error {
	for i := 0; i < len(pairs); i += 2 {
		if v := pairs[i+1]; v == "" || len(v) > MaxIDBytes || strings.ContainsFunc(v, func(r rune) bool { return r < ' ' }) {
			return brerror.New(brerror.InvalidRequest, "must have 1 to %d bytes without control characters", MaxIDBytes).WithField(pairs[i])
		}
	}
	return nil
}
