package brplace

// congestedFraction is the part of the slots of a service, beside those reserved for more urgent
// ranks, below which customers beyond their share are held back. With more of them free they
// take room that nobody else needs.
const congestedFraction = 0.15

// setBeyondShare replaces the customers that receive more than their share of the fleet, with
// the part of their requests that is within it.
func (s *State) setBeyondShare(customers map[string]float64) {
	s.beyondShare = customers
	for _, v := range s.services {
		for _, r := range v.queue {
			_, r.beyondShare = customers[r.Customer]
		}
	}
}

// exceedsShare reports whether r is to be rejected because its customer receives more than its
// share while slots are too few for the rank of r. Each daemon rejects the same part of what it
// gets: most daemons of a large fleet have few waiting requests that they could order instead.
// Requests of more urgent ranks find room, so that the order of the ranks stays.
func (s *State) exceedsShare(v *service, r *Request) bool {
	return r.beyondShare && !r.resent() && s.congested(v, r) && s.cfg.Random() >= s.beyondShare[r.Customer]
}

// congested reports whether fewer slots are free for the rank of r than congestedFraction of all.
func (s *State) congested(v *service, r *Request) bool {
	slots, free := s.slots(v)
	reserved := float64(v.placementRank(r)) * s.reserve()
	return float64(free) < (reserved+congestedFraction)*float64(slots)
}
