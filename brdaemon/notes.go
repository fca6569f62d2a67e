package brdaemon

import (
	"fmt"
	"strings"

	"bramleyroute/brentry"
	"bramleyroute/brerror"
	"bramleyroute/brpool"
	"bramleyroute/brstate"
	"bramleyroute/brtimeline"
	"github.com/rs/zerolog"
)

var entryEventKinds = map[brentry.EventName]brtimeline.Kind{
	brentry.EventReceived:           brtimeline.RequestReceived,
	brentry.EventGranted:            brtimeline.RequestGranted,
	brentry.EventGrantReturned:      brtimeline.DispatchNotRun,
	brentry.EventDispatched:         brtimeline.DispatchBegun,
	brentry.EventFirstToken:         brtimeline.FirstToken,
	brentry.EventEnded:              brtimeline.RequestEnded,
	brentry.EventRefused:            brtimeline.RequestRefused,
	brentry.EventShed:               brtimeline.RequestShed,
	brentry.EventCallerDisconnected: brtimeline.RequestCanceled,
	brentry.EventStuck:              brtimeline.StreamStuck,
	brentry.EventResumed:            brtimeline.StreamResumed,
	brentry.EventJoined:             brtimeline.PoolRecovered,
	brentry.EventLedgerRetry:        brtimeline.CommandRefused,
}

func (d *Daemon) recordEntryEvent(e brentry.Event) {
	ev := brtimeline.Event{Kind: entryEventKinds[e.Name], RequestID: e.RequestID, Pool: e.Pool, EndpointID: e.EndpointID, Epoch: e.Epoch, Detail: string(e.Name),
		Customer: e.Customer, Route: e.Route, Tier: e.Tier, Revision: e.Revision}
	if e.Err != nil {
		ev.ErrorKind, ev.Reason = brerror.From(e.Err).Kind.String(), e.Err.Error()
	}
	d.record(ev)
	switch e.Name {
	case brentry.EventStuck:
		logRequest(d.log.Error(), e).Msg("request is stuck and was ended")
	case brentry.EventEnded:
		if e.Err != nil && !brerror.Is(e.Err, brerror.Canceled) {
			logRequest(d.log.Warn(), e).Msg("request failed after dispatch")
		} else {
			logRequest(d.log.Debug(), e).Msg("request ended")
		}
	case brentry.EventRefused:
		logRequest(d.log.Debug(), e).Msg("request was refused")
	case brentry.EventLedgerRetry:
		d.log.Warn().Err(e.Err).Msg("ledger command failed; retrying")
	}
}

// logRequest adds the fields that identify a request to a log line.
func logRequest(l *zerolog.Event, e brentry.Event) *zerolog.Event {
	return l.Str("request_id", e.RequestID).Str("customer", e.Customer).Str("route", e.Route).Int("tier", e.Tier).
		Str("pool", e.Pool).Str("endpoint_id", e.EndpointID).Uint64("revision", e.Revision).Err(e.Err)
}

func (d *Daemon) recordVersionStopped(pool string, t brpool.VersionStopped) {
	d.log.Error().Str("pool", pool).Str("rollout_id", t.RolloutID).Str("version", t.Version).Str("route", t.Route).Str("reason", t.Reason).Msg("breaker stopped a version")
	d.record(brtimeline.Event{Kind: brtimeline.RolloutTripped, Pool: pool, RolloutID: t.RolloutID, Version: t.Version, Route: t.Route, Reason: t.Reason})
}

// recordOutcomes records the rollouts that ended between two views. Every
// control replica records them, so that the outcome stays in the timeline when
// the leader that committed it is lost.
func (d *Daemon) recordOutcomes(old, v brstate.View) {
	for _, row := range v.Rollouts {
		previous, ok := old.Rollout(row.ID)
		if row.Active() || ok && !previous.Active() || !ok && old.Revision == 0 {
			continue
		}
		d.record(brtimeline.Event{Kind: brtimeline.RolloutEnded, RolloutID: row.ID, Version: row.To, Revision: row.Revision, Reason: string(row.Outcome) + ": " + row.Reason})
	}
}

// recordPoolNote records a note of a pool in the timeline. Notes on endpoints
// and on incomplete recoveries are logged as well.
func (d *Daemon) recordPoolNote(pool string, e brpool.Effect) {
	ev := brtimeline.Event{Pool: pool}
	switch e := e.(type) {
	case brpool.NoteRecovery:
		ev.Kind, ev.Epoch = brtimeline.PoolRecovered, e.Epoch
		if len(e.Missing) > 0 {
			ev.Detail = "missing " + strings.Join(e.Missing, " ")
			d.log.Warn().Str("pool", pool).Strs("missing", e.Missing).Time("horizon", e.UnrecordedBefore).Msg("pool recovered without reports from some entries")
		}
	case brpool.NoteShed:
		ev.Kind, ev.Tier, ev.Reason, ev.Detail = brtimeline.RequestShed, e.Tier, e.Reason, fmt.Sprintf("%d requests", e.Count)
	case brpool.NoteEndpoint:
		ev.Kind, ev.EndpointID, ev.Detail, ev.Reason = endpointKind(e.State), e.EndpointID, e.State, e.Reason
		d.log.Info().Str("pool", pool).Str("endpoint_id", e.EndpointID).Str("state", e.State).Str("reason", e.Reason).Msg("endpoint changed its state")
	case brpool.NoteGrantOverdue:
		ev.Kind, ev.RequestID, ev.Peer, ev.Reason = brtimeline.RequestGranted, e.RequestID, e.EntryID, "grant is overdue"
	case brpool.NoteQuarantine:
		ev.Kind, ev.Detail, ev.Reason = brtimeline.QuarantineEnded, e.Subject.String(), strings.Join(e.Lost, " ")
		if e.Quarantined {
			ev.Kind = brtimeline.QuarantineBegun
			d.log.Warn().Str("pool", pool).Stringer("subject", e.Subject).Strs("lost", e.Lost).Msg("quarantined")
		} else {
			d.log.Info().Str("pool", pool).Stringer("subject", e.Subject).Msg("quarantine ended")
		}
	default:
		panic(fmt.Sprintf("brdaemon: unexpected pool effect %T", e))
	}
	d.record(ev)
}

func endpointKind(state string) brtimeline.Kind {
	switch state {
	case "leaving":
		return brtimeline.EndpointLeaving
	case "silent", "removed":
		return brtimeline.EndpointLost
	case "half_open":
		return brtimeline.EndpointHalfOpen
	case "closed":
		return brtimeline.EndpointRestored
	}
	return brtimeline.EndpointAnnounced
}
