package brtunnel

import "maps"

// Stats holds the numbers of a Server since its creation.
type Stats struct {
	Open    int              // tunnels that are open or being opened now
	Opened  uint64           // tunnels opened
	Refused map[Cause]uint64 // requests refused

	ToEndpoint, ToClient uint64 // bytes received for them
}

// Stats returns the current numbers.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Open: s.used, Opened: s.opened, Refused: maps.Clone(s.refused),
		ToEndpoint: s.toEndpoint.Load(), ToClient: s.toClient.Load(),
	}
}
