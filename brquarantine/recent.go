package brquarantine

import (
	"strings"
	"time"
)

const (
	// recentTime is the time for which a success is remembered; at most twice as long.
	recentTime = 30 * time.Second
	// maxRecent limits the number of subjects in each of the two halves of a recentSet.
	maxRecent = 16 << 10
)

// recentSet is a set of subjects that forgets those that weren't added for some time. It
// consists of two halves, of which the older one is dropped every recentTime. The zero
// value is empty.
type recentSet struct {
	current, previous map[Subject]struct{}
	rotatedAt         time.Time
}

func (r *recentSet) add(now time.Time, subject Subject) {
	r.rotate(now)
	if _, ok := r.current[subject]; ok || len(r.current) >= maxRecent {
		return
	}
	subject.ID = strings.Clone(subject.ID)
	r.current[subject] = struct{}{}
}

func (r *recentSet) contains(now time.Time, subject Subject) bool {
	r.rotate(now)
	if _, ok := r.current[subject]; ok {
		return true
	}
	_, ok := r.previous[subject]
	return ok
}

// rotate drops the half that is older than recentTime.
func (r *recentSet) rotate(now time.Time) {
	switch age := now.Sub(r.rotatedAt); {
	case r.current == nil || age >= 2*recentTime:
		r.previous = nil
	case age >= recentTime:
		r.previous = r.current
	default:
		return
	}
	r.current, r.rotatedAt = map[Subject]struct{}{}, now
}
