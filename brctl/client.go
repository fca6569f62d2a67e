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

// client calls the operators' interface of the first daemon that answers.
type client struct {
	addresses []string // ip:port
	key       string
	timeout   time.Duration // for each address
}

// parseAddresses reads a list that is separated by commas.
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

// fate says what became of one attempt.
type fate int

const (
	settled fate = iota // the answer holds, a success or not
	notRun              // another daemon may be tried
	unclear             // may have run
)

func fateOf(err error) fate {
	if err == nil {
		return settled
	}
	var known *brerror.Error
	if errors.As(err, &known) {
		switch a := known.Kind.Response(); {
		case a.Retry && a.Outcome == brerror.NotRun:
			return notRun
		case a.Retry || known.Kind == brerror.Internal:
			return unclear
		}
		return settled
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notRun
	}
	return unclear
}

// read calls something that changes nothing, at each address in turn.
func read[Req, Resp any](ctx context.Context, c client, method, path string, req Req) (Resp, error) {
	resp, f, err := try[Req, Resp](ctx, c, method, path, req)
	if f != settled && !brerror.Is(err, brerror.Internal) {
		err = &unavailableError{err}
	}
	return resp, err
}

// command sends a command with its id, which is empty for one whose repetition
// is harmless. A daemon that leaves the outcome open doesn't end the attempts,
// because repetitions are safe.
func command[Req, Resp any](ctx context.Context, c client, method, path, id string, req Req) (Resp, error) {
	resp, f, err := try[Req, Resp](ctx, c, method, path, req)
	switch f {
	case notRun:
		err = &unavailableError{err}
	case unclear:
		err = &unknownError{id, err}
	}
	return resp, err
}

// try calls each address until one settles the matter. The fate is unclear when
// that of any attempt was and none settled it.
func try[Req, Resp any](ctx context.Context, c client, method, path string, req Req) (Resp, fate, error) {
	var none Resp
	var failures []error
	worst := notRun
	for _, a := range c.addresses {
		one, cancel := context.WithTimeout(ctx, c.timeout)
		resp, err := broperator.Call[Req, Resp](one, "http://"+a, brpeer.Keys{c.key}, method, path, req)
		cancel()
		f := fateOf(err)
		// A daemon that doesn't know the key can't tell what became of an earlier
		// attempt at another daemon.
		if f == settled && !(worst == unclear && brerror.Is(err, brerror.Unauthorized)) {
			return resp, settled, err
		}
		worst = max(worst, f)
		failures = append(failures, fmt.Errorf("%s: %w", a, err))
	}
	return none, worst, errors.Join(failures...)
}
