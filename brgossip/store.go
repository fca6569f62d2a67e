package brgossip

import (
	"strings"
	"time"
)

// Version orders the values of one record. Versions are compared by Epoch, then by
// Seq; the greater one is newer.
type Version struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Seq   uint64
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Seq < w.Seq
}

// Record is one shared value. Keys have the form kind/name. Records are encoded with
// numbers as field names, since a large fleet exchanges many short ones.
type Record struct {
	Key     string        `cbor:"1,keyasint"`
	Version Version       `cbor:"2,keyasint"`
	Value   []byte        `cbor:"3,keyasint,omitempty"`
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // time since the writer published it, measured by the sender
	// Lifetime is the time after which a record that isn't renewed expires; 0 means
	// never.
	Lifetime time.Duration `cbor:"5,keyasint,omitempty"`
}

// Kind returns the part of the key before the slash.
func (r Record) Kind() string {
	kind, _, _ := strings.Cut(r.Key, "/")
	return kind
}

// Name returns the part of the key after the slash.
func (r Record) Name() string {
	_, name, _ := strings.Cut(r.Key, "/")
	return name
}

// Store holds the newest version of each record. The zero value is empty. Store is
// not safe for concurrent use.
type Store struct {
	entries map[string]entry
}

type entry struct {
	record      Record
	publishedAt time.Time // on the local clock
}

// Merge stores r if it is newer than the stored version and has not expired, and
// reports whether it did.
func (s *Store) Merge(now time.Time, r Record) bool {
	if r.Lifetime > 0 && r.Age >= r.Lifetime {
		return false
	}
	if !s.IsNewer(r) {
		return false
	}
	if s.entries == nil {
		s.entries = map[string]entry{}
	}
	s.entries[r.Key] = entry{record: r, publishedAt: now.Add(-r.Age)}
	return true
}

// IsNewer reports whether r is newer than the stored version, or there is none.
func (s *Store) IsNewer(r Record) bool {
	old, ok := s.entries[r.Key]
	return !ok || old.record.Version.Less(r.Version)
}

// Get returns the record of key with its current age, and whether it exists.
func (s *Store) Get(now time.Time, key string) (Record, bool) {
	e, ok := s.entries[key]
	if !ok {
		return Record{}, false
	}
	return e.withAge(now), true
}

// All returns all records with their current ages, in unspecified order.
func (s *Store) All(now time.Time) []Record {
	all := make([]Record, 0, len(s.entries))
	for _, e := range s.entries {
		all = append(all, e.withAge(now))
	}
	return all
}

// Expire removes the records that were not renewed within their lifetime and
// returns them.
func (s *Store) Expire(now time.Time) []Record {
	var expired []Record
	for key, e := range s.entries {
		if r := e.withAge(now); r.Lifetime > 0 && r.Age >= r.Lifetime {
			delete(s.entries, key)
			expired = append(expired, r)
		}
	}
	return expired
}

func (e entry) withAge(now time.Time) Record {
	r := e.record
	r.Age = max(0, now.Sub(e.publishedAt))
	return r
}
