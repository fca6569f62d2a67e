package brquarantine

import (
	"strings"
	"time"
)

const (
	// recentTime is the time for which a success is remembered; at most twice as long.
	recentTime = 30 * time.Second
	// maxRecent limits the number of parts in each of the two halves of a recentSet.
	maxRecent = 16 << 10
)

// recentSet is a set of parts that forgets those that weren't added for some time. It
// consists of two halves, of which the older one is dropped every recentTime. The zero
// value is empty.
type recentSet struct {
	current, previous map[string]struct{}
	rotatedAt         time.Time
}

func (r *recentSet) add(now time.Time, part string) {
	r.rotate(now)
	if _, ok := r.current[part]; ok || len(r.current) >= maxRecent {
		return
	}
	r.current[strings.Clone(part)] = struct{}{}
}

func (r *recentSet) contains(now time.Time, part string) bool {
	r.rotate(now)
	if _, ok := r.current[part]; ok {
		return true
	}
	_, ok := r.previous[part]
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
	r.current, r.rotatedAt = map[string]struct{}{}, now
}
