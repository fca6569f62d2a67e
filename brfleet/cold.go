package brfleet

import (
	"time"

	"bramleyroute/brplace"
)

const (
	// MaxColdTime is the longest time for which an endpoint may say that it stays cold.
	MaxColdTime = time.Hour
	// coldTolerance is the difference from which on the cold time of a heartbeat is
	// published. Heartbeats are delayed by unlike times.
	coldTolerance = 250 * time.Millisecond
)

// withoutCold returns a without its cold time if the policy in force has no use for it.
func (f *Fleet) withoutCold(a Announcement) Announcement {
	t := f.proxy.Table()
	if t == nil {
		return a
	}
	if s := t.Service(a.Endpoint.Service); s == nil || s.ColdRate == 0 {
		a.ColdTime, a.ColdUnstated = 0, false
	}
	return a
}

// coldDiffers reports whether a states another cold time than the announcement last of the
// same start, which is older by age.
func (a Announcement) coldDiffers(last Announcement, age time.Duration) bool {
	if a.ColdUnstated || last.ColdUnstated {
		return last.ColdUnstated && !a.ColdUnstated
	}
	difference := a.ColdTime - max(0, last.ColdTime-age)
	return difference.Abs() > coldTolerance
}

// applyCold applies what an announcement of the given age says of the cold time.
func (f *Fleet) applyCold(a Announcement, age time.Duration) {
	f.proxy.ApplyEvent(brplace.ColdAnnounced{
		ID: a.Endpoint.ID, Born: a.Born, Stated: !a.ColdUnstated, Remaining: a.ColdTime, Age: age,
	})
	if remaining := a.ColdTime - age; remaining > 0 {
		f.cfg.Log.Info().Str("endpoint", a.Endpoint.ID).Str("service", a.Endpoint.Service).Uint64("born", a.Born).
			Dur("cold_ms", remaining).Dur("age_ms", age).Msg("endpoint is cold")
	}
}

// hasJoined reports whether this daemon has reached another one, or there is none to be found.
func (f *Fleet) hasJoined() bool {
	return len(f.node.LinkedAddresses()) > 0 || !f.knowsOthers(f.node.Daemons())
}
