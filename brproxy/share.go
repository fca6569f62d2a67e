package brproxy

import (
	"time"

	"bramleyroute/brfair"
	"bramleyroute/brplace"
	"bramleyroute/brquota"
)

const (
	// sharesInterval is the interval between two comparisons of the customers' shares.
	sharesInterval = 250 * time.Millisecond
	// sharesWindow is the averaging time of what customers ask for and receive. Within less,
	// a few large requests would take a small customer beyond its share.
	sharesWindow = 2 * time.Second
)

// shares compares what the customers receive with their shares.
type shares struct {
	usages     map[string]brfair.Usage // averages, by customer
	comparedAt time.Time
}

// update adds the present rates to the averages and returns the customers beyond their shares,
// and false if it is too early. Customers are weighted by the rates of their quotas: these say
// how much of the room each of them was promised. What one asks for beyond its quota isn't owed.
func (s *shares) update(now time.Time, rates map[string]brquota.Rates) (beyond map[string]float64, due bool) {
	elapsed := now.Sub(s.comparedAt)
	if elapsed < sharesInterval {
		return nil, false
	}
	weight := min(1, elapsed.Seconds()/sharesWindow.Seconds())
	s.comparedAt = now
	usages := make(map[string]brfair.Usage, len(rates))
	for customer, r := range rates {
		u := s.usages[customer]
		u.Weight = r.Limit
		u.Demand += weight * (min(r.Demand, r.Limit) - u.Demand)
		u.Received += weight * (r.Spent - u.Received)
		usages[customer] = u
	}
	s.usages = usages
	return brfair.Beyond(usages), true
}

// compareShares tells the placement which customers receive more than their share.
func (p *Proxy) compareShares() {
	if !p.cfg.ShareByCustomer {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	beyond, due := p.shares.update(p.cfg.Clock.Now(), p.limiter.Rates())
	if !due {
		return
	}
	for customer, within := range beyond {
		if _, ok := p.beyond[customer]; !ok {
			u := p.shares.usages[customer]
			p.cfg.Log.Info().Str("customer", customer).Float64("asked_per_s", u.Demand).Float64("received_per_s", u.Received).
				Float64("quota_per_s", u.Weight).Float64("within", within).Msg("customer receives more than its share")
		}
	}
	p.beyond = beyond
	p.step(brplace.SharesCompared{Beyond: beyond})
}
