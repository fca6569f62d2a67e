package brfleet

import (
	"errors"
	"math"
	"time"

	"bramleyroute/brconcurrency"
	"bramleyroute/brplace"
	"bramleyroute/brproxy"
	"bramleyroute/brquota"
)

// errOutOfRange is the error of a record with a number that no daemon can have counted.
// Such a number would stay in sums and averages of many records.
var errOutOfRange = errors.New("brfleet: number is out of range")

const (
	// maxCount is the largest count in a record. The sum of those of all daemons fits
	// into an int64.
	maxCount = 1 << 50
	// maxQuota is the largest amount of quota. The difference of two fits into an int64.
	// An amount may be negative: a customer may get a rate between a request and its
	// refund.
	maxQuota = 1 << 62
)

func inRange[T int64 | float64](numbers ...T) error {
	for _, n := range numbers {
		if !(n >= 0 && n <= maxCount) { // false for NaN
			return errOutOfRange
		}
	}
	return nil
}

func checkLoad(r brplace.Report) error {
	for _, u := range r {
		if u.Failed > u.Ended || u.Ended > maxCount {
			return errOutOfRange
		}
		if err := inRange(int64(u.Active), int64(u.PendingPromptTokens), int64(u.EventInterval)); err != nil {
			return err
		}
	}
	return nil
}

func checkConcurrency(r brconcurrency.Report) error {
	for _, c := range r {
		for _, l := range c.Levels {
			if l.Count > maxCount {
				return errOutOfRange
			}
			if err := inRange(l.Seconds, l.Active); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkQuotaUsage(r brquota.Report) error {
	for _, t := range r.Customers {
		if max(t.Spent, t.Demand) > maxQuota || min(t.Spent, t.Demand) < -maxQuota {
			return errOutOfRange
		}
	}
	for _, counts := range []map[string]float64{r.Requests, r.Retries} {
		for _, n := range counts {
			if err := inRange(n); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkLimit(l limitRecord) error {
	if l.RejectionLimit < 0 {
		return errOutOfRange
	}
	return inRange(l.Rate)
}

func checkPause(pause time.Duration) error {
	if pause < 0 || pause > brproxy.MaxPause {
		return errOutOfRange
	}
	return nil
}

func checkTallies(t tallies) error {
	for _, n := range t {
		if err := inRange(n.Responses, n.Failed, n.LatencyRatios); err != nil {
			return err
		}
	}
	return nil
}

func checkShare(s versionShare) error {
	if math.IsNaN(s.Share) || s.Share < 0 || s.Share > 1 {
		return errOutOfRange
	}
	return nil
}
