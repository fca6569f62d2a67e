package brcore

import (
	"fmt"
	"time"

	"bramleyroute/brformat"
	"bramleyroute/brwire"
)

// Document is a configuration document in the form that the operator sent.
type Document struct {
	Version uint64 `cbor:"version"` // set by the operator; 0 if there is no document
	Index   uint64 `cbor:"index"`   // index of the log entry that put it in force
	Body    []byte `cbor:"body"`
}

// Outcome is the state of a rollout: running, or how it ended.
type Outcome string

// States of a rollout.
const (
	Running    Outcome = "running"
	Succeeded  Outcome = "succeeded"
	RolledBack Outcome = "rolled_back"
)

// Rollout is the newest rollout of a service.
type Rollout struct {
	Service  string        `cbor:"service"`
	Target   string        `cbor:"target"` // endpoint version that receives the traffic
	Duration time.Duration `cbor:"duration"`
	Elapsed  time.Duration `cbor:"elapsed"` // as last recorded
	Outcome  Outcome       `cbor:"outcome"`
	Index    uint64        `cbor:"index"` // index of the log entry that began it
}

// Command is a proposal to the log. Exactly one of its pointers is set.
type Command struct {
	// Format is the version of the command; 0 means 1. A command that an earlier build
	// would apply otherwise than this one needs a greater one.
	Format   uint64    `cbor:"format,omitempty"`
	Document *Document `cbor:"document,omitempty"`
	Begin    *Rollout  `cbor:"begin,omitempty"`
	Progress *Rollout  `cbor:"progress,omitempty"`
	// Evacuation needs Format 2.
	Evacuation *EvacuationChange `cbor:"evacuation,omitempty"`
}

// Verdict is the result of applying a command.
type Verdict uint8

// Results of applying a command.
const (
	Done     Verdict = iota + 1
	NoChange         // a newer document is in force, or the rollout has already begun or ended
	Conflict         // another rollout of the service is running, or another order for the domain came first
)

// State is the replicated state. The zero value is the empty state. State is not
// safe for concurrent use.
type State struct {
	document    Document
	rollouts    map[string]Rollout
	evacuations map[string]Evacuation // by domain
	err         error                 // set by a command of a later build
}

// Apply applies a committed command and returns the encoded verdict. A command that
// can't be decoded changes nothing: an error would end every replica that applies it,
// again after each restart. A command of a later format is an error for this replica
// only, see Err; Apply then returns nil and changes nothing anymore.
func (s *State) Apply(index uint64, data []byte) []byte {
	if s.err != nil {
		return nil
	}
	c, err := brwire.Decode[Command](data)
	if err != nil {
		return []byte{byte(NoChange)}
	}
	if err := c.checkFormat(); err != nil {
		s.err = fmt.Errorf("brcore: log entry %d: %w", index, err)
		return nil
	}
	return []byte{byte(s.apply(index, c))}
}

// checkFormat returns a *brformat.UnsupportedError for a command of a later build.
func (c Command) checkFormat() error { return brformat.Command.Check(max(c.Format, 1)) }

// Err returns an error that wraps a *brformat.UnsupportedError if a command of a later
// build has been committed. The replicas that run that build have applied it, so that
// this state isn't the replicated one anymore and must not be used.
func (s *State) Err() error { return s.err }

func (s *State) apply(index uint64, c Command) Verdict {
	switch {
	case c.Document != nil:
		if c.Document.Version <= s.document.Version {
			return NoChange
		}
		s.document = Document{Version: c.Document.Version, Index: index, Body: c.Document.Body}
		return Done
	case c.Begin != nil:
		return s.begin(index, *c.Begin)
	case c.Progress != nil:
		return s.progress(*c.Progress)
	case c.Evacuation != nil:
		return s.evacuate(index, *c.Evacuation)
	}
	return NoChange
}

func (s *State) begin(index uint64, r Rollout) Verdict {
	if old, ok := s.rollouts[r.Service]; ok {
		switch {
		case old.Target == r.Target:
			return NoChange
		case old.Outcome == Running:
			return Conflict
		}
	}
	if s.rollouts == nil {
		s.rollouts = map[string]Rollout{}
	}
	r.Index, r.Outcome, r.Elapsed = index, Running, 0
	s.rollouts[r.Service] = r
	return Done
}

// progress records the elapsed time or the outcome. An outcome is final.
func (s *State) progress(r Rollout) Verdict {
	old, ok := s.rollouts[r.Service]
	if !ok || old.Index != r.Index || old.Outcome != Running {
		return NoChange
	}
	old.Elapsed, old.Outcome = max(old.Elapsed, r.Elapsed), r.Outcome
	s.rollouts[r.Service] = old
	return Done
}

type snapshot struct {
	Format   uint64             `cbor:"format,omitempty"` // 0 means 1
	Document Document           `cbor:"document"`
	Rollouts map[string]Rollout `cbor:"rollouts"`
	// Evacuations needs Format 2.
	Evacuations map[string]Evacuation `cbor:"evacuations,omitempty"`
}

// Snapshot returns the encoded state. Its error is that of Err.
func (s *State) Snapshot() ([]byte, error) {
	if s.err != nil {
		return nil, s.err
	}
	n := snapshot{Document: s.document, Rollouts: s.rollouts, Evacuations: s.evacuations}
	if len(s.evacuations) > 0 {
		n.Format = evacuationFormat
	}
	return brwire.Encode(n)
}

// Restore replaces the state by an encoded one. It leaves the state unchanged if
// it returns an error, which wraps a *brformat.UnsupportedError for one of a later build.
func (s *State) Restore(data []byte) error {
	n, err := brwire.Decode[snapshot](data)
	if err != nil {
		return fmt.Errorf("brcore: decode snapshot: %w", err)
	}
	if err := brformat.State.Check(max(n.Format, 1)); err != nil {
		return fmt.Errorf("brcore: snapshot: %w", err)
	}
	s.document, s.rollouts, s.evacuations, s.err = n.Document, n.Rollouts, n.Evacuations, nil
	return nil
}
