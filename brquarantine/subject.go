package brquarantine

import "strings"

// Kind says what a Subject identifies.
type Kind string

// The kinds of subjects.
const (
	KindRequest Kind = "request" // one request, however often it is sent
	KindPart    Kind = "part"    // a part of prompts, which several requests may share
)

// Subject is what may be to blame for the crash of an endpoint.
type Subject struct {
	Kind Kind
	ID   string
}

// String returns the text form of s, which ParseSubject reads.
func (s Subject) String() string { return string(s.Kind) + "/" + s.ID }

// ParseSubject returns the Subject with the given text form, and whether there is one.
func ParseSubject(text string) (Subject, bool) {
	kind, id, ok := strings.Cut(text, "/")
	s := Subject{Kind(kind), id}
	return s, ok && id != "" && (s.Kind == KindRequest || s.Kind == KindPart)
}

// Request identifies a request to the quarantine.
type Request struct {
	// ID is the same each time a caller sends the request, and differs between requests;
	// a hash of all that an endpoint sees of it.
	ID    string
	Parts []string // IDs of the parts of its prompt that other requests may share
}

// subjects returns what may be to blame for a crash under r, the request itself first.
func (r Request) subjects() []Subject {
	all := make([]Subject, 0, 1+len(r.Parts))
	if r.ID != "" {
		all = append(all, Subject{KindRequest, r.ID})
	}
	for _, part := range r.Parts {
		all = append(all, Subject{KindPart, part})
	}
	return all
}
