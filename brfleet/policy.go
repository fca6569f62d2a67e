package brfleet

import (
	"context"
	"sync"

	"bramleyroute/brcore"
	"bramleyroute/brgossip"
	"bramleyroute/brpolicy"
)

const (
	kindPolicy = "policy"
	policyKey  = kindPolicy + "/current"
)

// policies hands the newest document from the links to the goroutine that
// compiles it.
type policies struct {
	mu      sync.Mutex
	newest  brcore.Document
	changed chan struct{}
}

// PutPolicy checks a document and puts it in force, unless a higher version is. It
// returns an InvalidError for a document that must not be in force, and an error
// that wraps brcore.ErrUnavailable when the outcome isn't known.
func (f *Fleet) PutPolicy(ctx context.Context, body []byte) error {
	p, err := f.cfg.DecodePolicy(body)
	if err == nil {
		err = p.Check()
	}
	if err != nil {
		f.cfg.Log.Info().Err(err).Msg("policy refused")
		return &InvalidError{err}
	}
	err = f.core.PutDocument(ctx, p.Version, body)
	f.cfg.Log.Info().Uint64("version", p.Version).AnErr("error", err).Msg("policy put")
	return err
}

// InvalidError says why a document must not be in force.
type InvalidError struct{ Reason error }

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *InvalidError) Unwrap() error { return e.Reason }

// Policy returns the newest document. Its Version is 0 when there is none. Errors
// are as for brcore.Core.Document.
func (f *Fleet) Policy(ctx context.Context) (brcore.Document, error) { return f.core.Document(ctx) }

// publishDocument shares the document that the replica has confirmed.
func (f *Fleet) publishDocument(d brcore.Document) {
	f.node.Publish(brgossip.Record{Key: policyKey, Version: brgossip.Version{Seq: d.Index}, Value: encode(d)})
}

// policyRecord schedules a newer document.
func (f *Fleet) policyRecord(r brgossip.Record) {
	d, ok := decode[brcore.Document](f, r)
	if !ok {
		return
	}
	f.policies.mu.Lock()
	if d.Index > f.policies.newest.Index {
		f.policies.newest = d
	}
	f.policies.mu.Unlock()
	select {
	case f.policies.changed <- struct{}{}:
	default:
	}
}

// runPolicies compiles each newest document and puts it in force.
func (f *Fleet) runPolicies() {
	var inForce uint64
	for {
		select {
		case <-f.stop:
			return
		case <-f.policies.changed:
		}
		f.policies.mu.Lock()
		d := f.policies.newest
		f.policies.mu.Unlock()
		if d.Index <= inForce {
			continue
		}
		inForce = d.Index
		p, err := f.cfg.DecodePolicy(d.Body)
		if err != nil {
			// It was checked before it was accepted.
			f.cfg.Log.Error().Uint64("version", d.Version).Err(err).Msg("accepted policy can't be decoded")
			continue
		}
		f.proxy.SetPolicy(brpolicy.Compile(p))
		f.cfg.Log.Info().Uint64("version", d.Version).Uint64("index", d.Index).Int("routes", len(p.Routes)).Msg("policy in force")
	}
}
