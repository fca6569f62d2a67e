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

// policies passes the newest document from the gossip handlers to runPolicies,
// which compiles it.
type policies struct {
	mu      sync.Mutex
	newest  brcore.Document
	changed chan struct{}
}

// PutPolicy validates a policy document and puts it in force unless a higher
// version already is. It returns an InvalidError for an invalid document, and an
// error that wraps brcore.ErrUnavailable if the outcome is unknown.
func (f *Fleet) PutPolicy(ctx context.Context, body []byte) error {
	p, err := f.cfg.DecodePolicy(body)
	if err == nil {
		err = p.Check()
	}
	if err != nil {
		f.cfg.Log.Info().Err(err).Msg("policy rejected as invalid")
		return &InvalidError{err}
	}
	err = f.core.PutDocument(ctx, p.Version, body)
	f.cfg.Log.Info().Uint64("version", p.Version).AnErr("error", err).Msg("policy proposed")
	return err
}

// InvalidError reports why a policy document or a rollout is invalid.
type InvalidError struct{ Reason error }

// Error returns the text of the reason.
func (e *InvalidError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *InvalidError) Unwrap() error { return e.Reason }

// Policy returns the newest policy document. Its Version is 0 if there is none.
// Errors are as for brcore.Core.Document.
func (f *Fleet) Policy(ctx context.Context) (brcore.Document, error) { return f.core.Document(ctx) }

// publishDocument publishes a document that the replica has confirmed as the
// newest.
func (f *Fleet) publishDocument(d brcore.Document) {
	f.node.Publish(brgossip.Record{Key: policyKey, Version: brgossip.Version{Seq: d.Index}, Value: encode(d)})
}

// applyPolicyRecord passes a newer document to runPolicies.
func (f *Fleet) applyPolicyRecord(r brgossip.Record) {
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

// runPolicies compiles each new document and puts it in force.
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
			// PutPolicy validates documents, so an accepted one should decode.
			f.cfg.Log.Error().Uint64("version", d.Version).Err(err).Msg("accepted policy cannot be decoded")
			continue
		}
		f.proxy.SetPolicy(brpolicy.Compile(p))
		f.cfg.Log.Info().Uint64("version", d.Version).Uint64("index", d.Index).Int("routes", len(p.Routes)).Msg("policy in force")
	}
}
