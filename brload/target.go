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

// Target takes requests. Send returns when the request has ended.
type Target struct {
	Name  string
	Send  func(ctx context.Context, r Arrival) Answer
	Close func()
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// newClient returns a client whose connections are its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// giveUpSlack is the time that an entry has to answer at the deadline by itself
// before the caller closes the connection.
const giveUpSlack = 200 * time.Millisecond

// gaveUp names the failure of a request whose caller closed the connection
// because no token came by the deadline.
const gaveUp = "caller_gave_up"

// Entries returns a target that sends each request to the next of the entries'
// caller addresses, as a load balancer does. A caller gives up when the first
// token has not come by its deadline. Entries panics without addresses.
func Entries(addresses []string) Target {
	if len(addresses) == 0 {
		panic("brload: no entry addresses")
	}
	client := newClient()
	var next atomic.Uint64
	return Target{Name: "bramleyroute", Close: client.CloseIdleConnections, Send: func(ctx context.Context, r Arrival) Answer {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		late := time.AfterFunc(r.Deadline+giveUpSlack, func() { cancel(context.DeadlineExceeded) })
		defer late.Stop()
		c := brengine.Completion{Route: r.Route, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true}
		address := addresses[next.Add(1)%uint64(len(addresses))]
		a := exchange(ctx, client, call{address: address, key: r.Customer.Key, id: newID(), body: c, want: r.Output, left: r.Deadline, onFirst: func() { late.Stop() }})
		if a.Err != nil && context.Cause(ctx) == context.DeadlineExceeded {
			a.Failure.Kind = gaveUp
		}
		return a
	}}
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// Direct returns a target that sends to one engine, without a deadline.
func Direct(model, address string) Target {
	client := newClient()
	return Target{Name: "direct", Close: client.CloseIdleConnections, Send: func(ctx context.Context, r Arrival) Answer {
		c := brengine.Completion{Model: model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true}
		return exchange(ctx, client, call{address: address, id: newID(), body: c, want: r.Output})
	}}
}
