package brstate

import (
	"bramleyroute/brerror"
)

// MaxProgressBytes is the maximum size of the saved progress of a rollout, in bytes.
const MaxProgressBytes = 256 << 10

// SaveProgress stores the rollout controller's state of a rollout, so that the next
// leader continues with the evidence collected so far. Data is opaque to this
// package. It is not part of the view.
type SaveProgress struct {
	ID   string `cbor:"id"`
	Data []byte `cbor:"data"`
}

// Progress returns the saved progress of a rollout, or nil.
func (s *State) Progress(id string) []byte { return s.progress[id] }

// saveProgress stores the data of an existing rollout and removes the progress of
// rollouts whose rows were removed.
func (s *State) saveProgress(c SaveProgress) error {
	if _, ok := s.view.Rollout(c.ID); !ok {
		return brerror.New(brerror.InvalidRequest, "no rollout has the id %.64q", c.ID).WithField("id")
	}
	if len(c.Data) > MaxProgressBytes {
		return brerror.New(brerror.TooLarge, "progress of %d bytes exceeds %d", len(c.Data), MaxProgressBytes)
	}
	if s.progress == nil {
		s.progress = map[string][]byte{}
	}
	s.progress[c.ID] = c.Data
	for id := range s.progress {
		if _, ok := s.view.Rollout(id); !ok {
			delete(s.progress, id)
		}
	}
	return nil
}

// progressRows returns the saved progress in the order of the rollouts in the view.
func (s *State) progressRows() []SaveProgress {
	var rows []SaveProgress
	for _, r := range s.view.Rollouts {
		if b, ok := s.progress[r.ID]; ok {
			rows = append(rows, SaveProgress{r.ID, b})
		}
	}
	return rows
}
