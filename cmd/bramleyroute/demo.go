package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"bramleyroute/brconfig"
	"bramleyroute/brdaemon"
	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brfake"
	"bramleyroute/broperator"
	"bramleyroute/brpeer"
	"bramleyroute/brsetting"
	"bramleyroute/brwire"
	"github.com/rs/zerolog"
)

const (
	demoTimeout       = 30 * time.Second
	demoRetryInterval = 50 * time.Millisecond
	demoCustomerKey   = "demo-customer-key-1"
	demoOperatorKey   = "demo-operator-key-1"
)

// runDemo starts a daemon with every role and a fake engine on free loopback
// ports, sends one streamed request and prints the response to out.
func runDemo(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "bramleyroute-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var listeners [3]net.Listener
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return err
		}
	}
	peer := listeners[1].Addr().String()
	d, err := brdaemon.Start(brsetting.Settings{
		DaemonID: "demo", Roles: []brwire.Role{brwire.RoleEntry, brwire.RoleScheduler, brwire.RoleControl},
		Region: "local", FailureDomain: "a", AdvertisedPeerAddress: peer, DataDir: dir,
		ControlPeers: []brsetting.ControlPeer{{DaemonID: "demo", Address: peer}},
		PeerKeys:     []string{"demo-peer-key-0001"}, OperatorKeys: []string{demoOperatorKey}, LeaseDuration: 3 * time.Second,
	}, brdaemon.Options{
		Log: zerolog.New(os.Stderr).Level(zerolog.ErrorLevel), Fatal: func(err error) { fmt.Fprintln(os.Stderr, err); os.Exit(exitFailed) },
		CallerListener: listeners[0], PeerListener: listeners[1], OperatorListener: listeners[2],
	})
	if err != nil {
		return err
	}
	defer d.Close()
	engine, err := startEngine(peer)
	if err != nil {
		return err
	}
	defer engine.Close()
	if err := putDemoConfig(ctx, "http://"+listeners[2].Addr().String()); err != nil {
		return fmt.Errorf("put the configuration: %w", err)
	}
	if err := sendRequest(ctx, out, "http://"+listeners[0].Addr().String()); err != nil {
		return fmt.Errorf("send the request: %w", err)
	}
	return d.Drain(ctx)
}

// demoEngine is a fake engine and its HTTP server.
type demoEngine struct {
	*brfake.Endpoint
	server *http.Server
}

func startEngine(daemon string) (*demoEngine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := brfake.New(brfake.Config{
		EndpointID: "engine-1", Address: ln.Addr().String(), Kind: brwire.KindEngine, Model: "demo-model", Version: "v1",
		Region: "local", FailureDomain: "a", CapacityTokens: 65536, StepBase: 5 * time.Millisecond,
		CacheBlocks: 1024, Daemons: []string{daemon},
	})
	d := &demoEngine{Endpoint: e, server: &http.Server{Handler: e.Handler(), ConnContext: e.ConnContext, ReadHeaderTimeout: demoTimeout}}
	go d.server.Serve(ln)
	return d, nil
}

func (d *demoEngine) Close() {
	d.server.Close()
	d.Endpoint.Close()
}

// putDemoConfig sends the configuration and retries until the control group, which
// has just been bootstrapped, accepts it.
func putDemoConfig(ctx context.Context, operator string) error {
	doc := brconfig.Document{
		Models: []brconfig.Model{{Name: "demo-model", Kind: "engine"}},
		Templates: []brconfig.Template{{Name: "visits", Routes: []brconfig.Route{
			{Name: "question", Model: "demo-model", Tier: 1, FirstTokenMS: 410, TokenMS: 28, DeadlineMS: 20_000},
		}}},
		Customers: []brconfig.Customer{{Name: "demo", Template: "visits", Keys: []string{demoCustomerKey}}},
	}
	put := broperator.PutConfig{CommandID: "demo-configuration", Document: doc}
	for {
		_, err := broperator.Call[broperator.PutConfig, broperator.Accepted](ctx, operator, brpeer.Keys{demoOperatorKey}, "PUT", broperator.PathConfig, put)
		if k := brerror.From(err); err == nil || !k.Kind.Response().Retry {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(demoRetryInterval):
		}
	}
}

// sendRequest sends one streamed request and prints the response as it arrives. It
// retries while the response is an error with a retry delay.
func sendRequest(ctx context.Context, out io.Writer, entry string) error {
	body, err := json.Marshal(brengine.Completion{Model: "demo-model", Prompt: "When does the next train leave?", MaxTokens: 16, Stream: true})
	if err != nil {
		return err
	}
	for {
		r, err := http.NewRequestWithContext(ctx, "POST", entry+brengine.PathCompletions, bytes.NewReader(body))
		if err != nil {
			return err
		}
		r.Header.Set("Authorization", "Bearer "+demoCustomerKey)
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		if res.StatusCode == http.StatusOK {
			defer res.Body.Close()
			return printResponse(out, res)
		}
		var refusal brengine.Error
		err = json.NewDecoder(res.Body).Decode(&refusal)
		res.Body.Close()
		if err != nil || refusal.Error.RetryAfterMS == 0 {
			return fmt.Errorf("status %d: %s: %s", res.StatusCode, refusal.Error.Kind, refusal.Error.Message)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(demoRetryInterval):
		}
	}
}

func printResponse(out io.Writer, res *http.Response) error {
	fmt.Fprintln(out, "request ID:", res.Header.Get(brengine.HeaderRequestID))
	fmt.Fprintln(out, "entry:     ", res.Header.Get(brengine.HeaderEntry))
	fmt.Fprintln(out, "endpoint:  ", res.Header.Get(brengine.HeaderEndpoint))
	fmt.Fprint(out, "response:   ")
	sc := bufio.NewScanner(res.Body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == brengine.DoneMarker:
			fmt.Fprintln(out)
			return nil
		}
		var c brengine.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return err
		}
		for _, choice := range c.Choices {
			fmt.Fprint(out, choice.Text)
		}
	}
	return errors.Join(errors.New("response ended before the end marker"), sc.Err())
}
