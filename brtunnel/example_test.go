package brtunnel_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"

	"bramleyroute/brconn"
	"bramleyroute/brtunnel"
)

// A pool of connections sends a request to an endpoint through a relay.
func Example() {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "hello")
	}))
	defer endpoint.Close()
	address := endpoint.Listener.Addr().String()

	server := &brtunnel.Server{Allow: func(a string) bool { return a == address }}
	mux := http.NewServeMux()
	mux.Handle(brtunnel.Path, server)
	relay := httptest.NewServer(mux)
	defer relay.Close()
	defer server.Close()

	dialer := &brtunnel.Dialer{}
	pool := &brconn.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.Dial(ctx, relay.Listener.Addr().String(), address)
	}}
	defer pool.Close()
	request := brconn.Request{Method: http.MethodGet, URI: "/", Host: address}
	x, err := pool.Send(context.Background(), address, request)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	fmt.Println(string(body), err)

	_, err = pool.Send(context.Background(), "192.0.2.1:80", request)
	var dialError *brtunnel.DialError
	if errors.As(err, &dialError) {
		fmt.Println(dialError.Cause, dialError.Cause.ConcernsEndpoint())
	}
	// Output:
	// hello <nil>
	// not-allowed false
}
