package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bramleyroute/brfake"
	"bramleyroute/brwire"
	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("brfake", "Fake model engine or plain service for tests and measurements.").DefaultEnvars()
	c := registerFlags(app)
	advertise := app.Flag("advertise", "Address to announce. Default: the address listened on.").String()
	listen := app.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	faults := app.Flag("faults", `Faults by version as JSON, such as {"":{"fail_rate":0.1},"v2":{"slow_factor":3}}.`).Default("{}").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := json.Unmarshal([]byte(*faults), &c.Faults); err != nil {
		fmt.Fprintln(os.Stderr, "brfake: faults:", err)
		os.Exit(1)
	}
	if err := run(*listen, *advertise, *c); err != nil {
		fmt.Fprintln(os.Stderr, "brfake:", err)
		os.Exit(1)
	}
}

func registerFlags(app *kingpin.Application) *brfake.Config {
	c := &brfake.Config{}
	app.Flag("id", "Endpoint ID.").Default("fake-1").StringVar(&c.EndpointID)
	app.Flag("kind", "engine or service.").Default("engine").EnumVar((*string)(&c.Kind), string(brwire.KindEngine), string(brwire.KindService))
	app.Flag("model", "Model or service name.").Default("model-a").StringVar(&c.Model)
	app.Flag("serve-version", "Version that is served at the start.").Default("v1").StringVar(&c.Version)
	app.Flag("region", "Region.").Default("local").StringVar(&c.Region)
	app.Flag("failure-domain", "Failure domain.").Default("a").StringVar(&c.FailureDomain)
	app.Flag("hardware", "Hardware generation.").Default("g1").StringVar(&c.Hardware)
	app.Flag("checks-fencing", "Refuse load orders with a stale fencing token.").BoolVar(&c.ChecksFencing)
	app.Flag("capacity-tokens", "Announced capacity, in tokens (service: in requests).").Default("65536").IntVar(&c.CapacityTokens)
	app.Flag("max-batch", "Maximum number of sequences in a batch.").Default("64").IntVar(&c.MaxBatch)
	app.Flag("prefill-per-token", "Time to compute one prompt token.").Default("50us").DurationVar(&c.PrefillPerToken)
	app.Flag("step-base", "Duration of a decode step with an empty batch.").Default("8ms").DurationVar(&c.StepBase)
	app.Flag("step-per-sequence", "Duration that each sequence adds to a decode step.").Default("100us").DurationVar(&c.StepPerSequence)
	app.Flag("cache-blocks", "Maximum number of prefix blocks in the cache.").Default("4096").IntVar(&c.CacheBlocks)
	app.Flag("load-time", "Time to load a version.").Default("2s").DurationVar(&c.LoadTime)
	app.Flag("service-latency", "Duration of a request to a plain service.").Default("5ms").DurationVar(&c.ServiceLatency)
	app.Flag("daemon", "Peer address of a daemon to announce to (repeatable).").StringsVar(&c.Daemons)
	app.Flag("key", "Bearer key sent with announcements.").StringVar(&c.Key)
	app.Flag("load-lag", "Age of the announced load metrics.").Default("1s").DurationVar(&c.LoadLag)
	app.Flag("cache-event-lag", "Delay of cache events.").Default("1s").DurationVar(&c.CacheEventLag)
	app.Flag("cache-event-loss", "Fraction of cache events that are lost.").Default("0.02").Float64Var(&c.CacheEventLoss)
	app.Flag("seed", "Random seed of losses and failures.").Default("1").Uint64Var(&c.Seed)
	return c
}

func run(listen, advertise string, c brfake.Config) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	c.Address = ln.Addr().String()
	if advertise != "" {
		c.Address = advertise
	}
	e := brfake.New(c)
	srv := &http.Server{Handler: e.Handler(), ConnContext: e.ConnContext, ReadHeaderTimeout: 10 * time.Second}
	fmt.Println(ln.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	err = srv.Serve(ln)
	e.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
