package brload

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bramleyroute/brengine"
	"github.com/google/uuid"
)

// Target receives requests. Send returns when the request has ended.
type Target struct {
	Name  string
	Send  func(ctx context.Context, r Arrival) Response
	Close func()
}

// dialTimeout limits the time for opening a connection.
const dialTimeout = 2 * time.Second

// newClient returns a client with its own connection pool.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// callerSlack is the time after the deadline in which an entry may respond by itself
// before the caller closes the connection.
const callerSlack = 200 * time.Millisecond

// callerGaveUp is the failure kind of a request whose caller closed the connection
// because no token arrived by the deadline.
const callerGaveUp = "caller_gave_up"

// EntryTarget returns a target that distributes requests round robin to the entries'
// caller addresses, as a load balancer does. A caller closes the connection if the
// first token has not arrived by the deadline. EntryTarget panics if addresses is empty.
func EntryTarget(addresses []string) Target {
	if len(addresses) == 0 {
		panic("brload: entry addresses are empty")
	}
	client := newClient()
	var next atomic.Uint64
	return Target{Name: "bramleyroute", Close: client.CloseIdleConnections, Send: func(ctx context.Context, r Arrival) Response {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		deadlineTimer := time.AfterFunc(r.Deadline+callerSlack, func() { cancel(context.DeadlineExceeded) })
		defer deadlineTimer.Stop()
		c := brengine.Completion{Route: r.Route, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true}
		address := addresses[next.Add(1)%uint64(len(addresses))]
		a := exchange(ctx, client, call{address: address, key: r.Customer.Key, id: newID(), body: c, outputTokens: r.Output, timeout: r.Deadline, onFirst: func() { deadlineTimer.Stop() }})
		if a.Err != nil && context.Cause(ctx) == context.DeadlineExceeded {
			a.Failure.Kind = callerGaveUp
		}
		return a
	}}
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// DirectTarget returns a target that sends requests to one engine without a deadline.
func DirectTarget(model, address string) Target {
	client := newClient()
	return Target{Name: "direct", Close: client.CloseIdleConnections, Send: func(ctx context.Context, r Arrival) Response {
		c := brengine.Completion{Model: model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true}
		return exchange(ctx, client, call{address: address, id: newID(), body: c, outputTokens: r.Output})
	}}
}
