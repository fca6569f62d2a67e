package brstate

import (
	"unicode/utf8"

	"bramleyroute/brerror"
	"bramleyroute/brwire"
)

const (
	// MaxDomainBytes is the maximum length of the name of a failure domain, in bytes.
	MaxDomainBytes = 256
	// MaxEvacuations is the maximum number of evacuations in force.
	MaxEvacuations = 1000
)

// ChangeEvacuation orders that the endpoints of a failure domain get no new request, or
// withdraws that order. A change of what is so already succeeds. The domain need not have
// an endpoint.
type ChangeEvacuation struct {
	Domain   string `cbor:"domain"`
	Withdraw bool   `cbor:"withdraw"`
}

// Evacuation is the evacuation of a failure domain, which is in force.
type Evacuation struct {
	Domain   string `cbor:"domain" json:"domain"`
	Revision uint64 `cbor:"revision" json:"revision"` // of the order
}

// Evacuation returns the row of a failure domain and reports whether it is evacuated.
func (v View) Evacuation(domain string) (Evacuation, bool) {
	return findRow(v.Evacuations, domain, domainOf)
}

// EvacuatedDomains returns the evacuated failure domains, sorted.
func (v View) EvacuatedDomains() []string {
	var domains []string
	for _, e := range v.Evacuations {
		domains = append(domains, e.Domain)
	}
	return domains
}

func domainOf(e Evacuation) string { return e.Domain }

func (s *State) changeEvacuation(c ChangeEvacuation) (brwire.ProposeReply, *Change) {
	if c.Domain == "" || len(c.Domain) > MaxDomainBytes || !utf8.ValidString(c.Domain) {
		return s.errorReply(brerror.New(brerror.InvalidRequest, "name of a failure domain is empty, too long or not UTF-8").WithField("domain")), nil
	}
	_, evacuated := s.view.Evacuation(c.Domain)
	switch {
	case evacuated != c.Withdraw: // as ordered already
		return s.reply(struct{}{}, nil), nil
	case c.Withdraw:
		return s.reply(struct{}{}, nil), &Change{RemovedEvacuations: []string{c.Domain}}
	case len(s.view.Evacuations) >= MaxEvacuations:
		return s.errorReply(brerror.New(brerror.Overloaded, "%d failure domains are evacuated", MaxEvacuations)), nil
	}
	return s.reply(struct{}{}, nil), &Change{Evacuations: []Evacuation{{Domain: c.Domain, Revision: s.index}}}
}
