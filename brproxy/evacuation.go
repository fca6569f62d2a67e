package brproxy

import (
	"errors"

	"bramleyroute/brplace"
)

// errEvacuated is the error of a request that isn't sent because its endpoint was evacuated
// after the placement.
var errEvacuated = errors.New("brproxy: endpoint was evacuated before the request was sent")

// SetEvacuated sets the failure domains whose endpoints get no new request.
func (p *Proxy) SetEvacuated(domains []string) {
	p.ApplyEvent(brplace.DomainsEvacuated{Domains: domains})
}

// checkEvacuated returns errEvacuated if e lies in an evacuated failure domain. It is called
// right before a request is sent, since a connection may take long to open.
func (p *Proxy) checkEvacuated(e brplace.Endpoint) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placement.Evacuated(e.Zone) {
		return errEvacuated
	}
	return nil
}
