package brcore

import (
	"context"
	"fmt"
	"maps"
	"slices"
)

const (
	callEvacuations = "core_evacuations"

	// evacuationFormat is the version of a command with an evacuation: an earlier build
	// would apply it without an effect.
	evacuationFormat = 2
	// maxWithdrawn limits the number of withdrawn evacuations that the state keeps.
	maxWithdrawn = 1000
	// maxEvacuationAttempts limits the proposals of one order. A proposal fails if
	// another order for the domain comes between the read and the proposal.
	maxEvacuationAttempts = 5
)

// Evacuation is the newest order for a failure domain, or its withdrawal.
type Evacuation struct {
	Domain    string `cbor:"domain"`
	Withdrawn bool   `cbor:"withdrawn"`
	Index     uint64 `cbor:"index"` // index of the log entry that put it in force
}

// EvacuationChange orders the evacuation of a failure domain, or withdraws it.
type EvacuationChange struct {
	Domain   string `cbor:"domain"`
	Withdraw bool   `cbor:"withdraw"`
	// Seen is the index of the Evacuation of the domain when its operator was last known
	// to wait; 0 if there was none. A change of another one is a delayed copy, which must
	// not undo what was ordered since.
	Seen uint64 `cbor:"seen"`
}

// evacuate applies a change of an evacuation.
func (s *State) evacuate(index uint64, c EvacuationChange) Verdict {
	old := s.evacuations[c.Domain] // Withdrawn is false if there is none
	if old.evacuated() != c.Withdraw {
		return NoChange
	}
	if old.Index != c.Seen {
		return Conflict
	}
	if s.evacuations == nil {
		s.evacuations = map[string]Evacuation{}
	}
	s.evacuations[c.Domain] = Evacuation{Domain: c.Domain, Withdrawn: c.Withdraw, Index: index}
	s.forgetWithdrawn()
	return Done
}

// evacuated reports whether e is in force. The zero Evacuation isn't.
func (e Evacuation) evacuated() bool { return e.Index > 0 && !e.Withdrawn }

// forgetWithdrawn removes the oldest withdrawn evacuation if there are more than
// maxWithdrawn.
func (s *State) forgetWithdrawn() {
	withdrawn := 0
	var oldest Evacuation
	for _, e := range s.evacuations {
		if !e.Withdrawn {
			continue
		}
		withdrawn++
		if oldest.Index == 0 || e.Index < oldest.Index {
			oldest = e
		}
	}
	if withdrawn > maxWithdrawn {
		delete(s.evacuations, oldest.Domain)
	}
}

// sortedEvacuations returns all evacuations, sorted by their domains.
func (s *State) sortedEvacuations() []Evacuation {
	all := make([]Evacuation, 0, len(s.evacuations))
	for _, domain := range slices.Sorted(maps.Keys(s.evacuations)) {
		all = append(all, s.evacuations[domain])
	}
	return all
}

// Evacuations returns all evacuations, also withdrawn ones, sorted by their domains.
// Errors are as for Document.
func (c *Core) Evacuations(ctx context.Context) ([]Evacuation, error) {
	return callReplicas(ctx, c, callEvacuations, struct{}{}, c.localEvacuations)
}

// Evacuate puts the evacuation of a domain in force. Errors are as for PutDocument.
func (c *Core) Evacuate(ctx context.Context, domain string) error {
	return c.changeEvacuation(ctx, EvacuationChange{Domain: domain})
}

// WithdrawEvacuation ends the evacuation of a domain. Errors are as for PutDocument.
func (c *Core) WithdrawEvacuation(ctx context.Context, domain string) error {
	return c.changeEvacuation(ctx, EvacuationChange{Domain: domain, Withdraw: true})
}

// changeEvacuation reads the evacuation of the domain and proposes the change. If another
// change comes between, it begins again as long as ctx, which ends with the operator's
// connection, has not ended.
func (c *Core) changeEvacuation(ctx context.Context, change EvacuationChange) error {
	for range maxEvacuationAttempts {
		all, err := c.Evacuations(ctx)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
		change.Seen = 0
		for _, e := range all {
			if e.Domain == change.Domain {
				change.Seen = e.Index
			}
		}
		verdict, err := c.propose(ctx, Command{Format: evacuationFormat, Evacuation: &change})
		if err != nil || verdict != Conflict {
			return err
		}
	}
	return fmt.Errorf("%w: %d other orders for the domain came first", ErrUnavailable, maxEvacuationAttempts)
}

func (c *Core) localEvacuations(ctx context.Context, _ struct{}) ([]Evacuation, error) {
	if err := c.barrier(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.sortedEvacuations(), c.state.Err()
}
