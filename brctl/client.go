package brctl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"bramleyroute/brerror"
	"bramleyroute/broperator"
	"bramleyroute/brpeer"
)

// client calls the operators' interface of the first daemon that responds.
type client struct {
	addresses []string // ip:port
	key       string
	timeout   time.Duration // for each address
}

// parseAddresses parses a list of addresses separated by commas.
func parseAddresses(text string) ([]string, error) {
	var list []string
	for a := range strings.SplitSeq(text, ",") {
		if a = strings.TrimSpace(a); a == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, usageError{fmt.Sprintf("--address: %q is not ip:port", a)}
		}
		list = append(list, a)
	}
	if len(list) == 0 {
		return nil, usageError{"--address: no address is given"}
	}
	return list, nil
}

// outcome is the outcome of a call.
type outcome int

const (
	outcomeFinal   outcome = iota // the result is final, a success or an error
	outcomeNotRun                 // not executed; another daemon may be tried
	outcomeUnknown                // may have been executed
)

func outcomeOf(err error) outcome {
	if err == nil {
		return outcomeFinal
	}
	var daemonErr *brerror.Error
	if errors.As(err, &daemonErr) {
		switch resp := daemonErr.Kind.Response(); {
		case resp.Retry && resp.Outcome == brerror.NotRun:
			return outcomeNotRun
		case resp.Retry || daemonErr.Kind == brerror.Internal:
			return outcomeUnknown
		}
		return outcomeFinal
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// read makes a call that changes nothing, at each address in turn.
func read[Req, Resp any](ctx context.Context, c client, method, path string, req Req) (Resp, error) {
	resp, o, err := callInTurn[Req, Resp](ctx, c, method, path, req)
	if o != outcomeFinal && !brerror.Is(err, brerror.Internal) {
		err = &unavailableError{err}
	}
	return resp, err
}

// command sends a command with its ID, which is empty for a command that can be
// repeated without harm. An unknown outcome doesn't end the attempts, because
// repetitions are safe.
func command[Req, Resp any](ctx context.Context, c client, method, path, id string, req Req) (Resp, error) {
	resp, o, err := callInTurn[Req, Resp](ctx, c, method, path, req)
	switch o {
	case outcomeNotRun:
		err = &unavailableError{err}
	case outcomeUnknown:
		err = &unknownError{id, err}
	}
	return resp, err
}

// callInTurn calls each address until the outcome of a call is final. If none
// is, the outcome is unknown if that of any call is.
func callInTurn[Req, Resp any](ctx context.Context, c client, method, path string, req Req) (Resp, outcome, error) {
	var zero Resp
	var failures []error
	worstOutcome := outcomeNotRun
	for _, a := range c.addresses {
		callCtx, cancel := context.WithTimeout(ctx, c.timeout)
		resp, err := broperator.Call[Req, Resp](callCtx, "http://"+a, brpeer.Keys{c.key}, method, path, req)
		cancel()
		o := outcomeOf(err)
		// A daemon that rejects the key says nothing about the outcome of an
		// earlier call to another daemon.
		if o == outcomeFinal && !(worstOutcome == outcomeUnknown && brerror.Is(err, brerror.Unauthorized)) {
			return resp, outcomeFinal, err
		}
		worstOutcome = max(worstOutcome, o)
		failures = append(failures, fmt.Errorf("%s: %w", a, err))
	}
	return zero, worstOutcome, errors.Join(failures...)
}
