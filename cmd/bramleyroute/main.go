package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"bramleyroute/brdaemon"
	"bramleyroute/brsetting"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
)

// Exit codes.
const (
	exitFailed   = 1 // the daemon failed to start or stopped with an error
	exitSettings = 2 // a setting is invalid
)

func main() {
	app := kingpin.New("bramleyroute", "Request scheduler for heterogeneous model engines.")
	run := app.Command("run", "Run a daemon.").Default()
	check := app.Command("check-settings", "Check the settings and exit.")
	demo := app.Command("demo", "Run every role and a fake engine in one process, serve one request and exit.")
	flags := brsetting.Register(app)
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		os.Exit(runDaemon(flags))
	case check.FullCommand():
		os.Exit(checkSettings(flags))
	case demo.FullCommand():
		if err := runDemo(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "bramleyroute demo:", err)
			os.Exit(exitFailed)
		}
	}
}

func checkSettings(f *brsetting.Flags) int {
	if _, err := f.Settings(); err != nil {
		fmt.Fprintln(os.Stderr, strings.ReplaceAll(err.Error(), "; ", "\n  "))
		return exitSettings
	}
	for _, line := range f.Lines() {
		fmt.Println(line)
	}
	return 0
}

// runDaemon runs a daemon until SIGTERM, SIGINT or an operator's drain command and
// then stops it gracefully. A second signal stops it at once. runDaemon returns the
// exit code.
func runDaemon(f *brsetting.Flags) int {
	s, err := f.Settings()
	if err != nil {
		fmt.Fprintln(os.Stderr, strings.ReplaceAll(err.Error(), "; ", "\n  "))
		return exitSettings
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	for _, line := range f.Lines() {
		log.Info().Str("setting", line).Msg("setting")
	}
	fatal := make(chan error, 1)
	d, err := brdaemon.Start(s, brdaemon.Options{Log: log, Fatal: func(err error) {
		select {
		case fatal <- err:
		default:
		}
	}})
	if err != nil {
		log.Error().Err(err).Msg("daemon failed to start")
		return exitFailed
	}
	return waitAndStop(d, s, log, fatal)
}

func waitAndStop(d *brdaemon.Daemon, s brsetting.Settings, log zerolog.Logger, fatal <-chan error) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case err := <-fatal:
		// After a failed sync the contents of the disk are unknown, so the process
		// exits without writing to it again.
		log.Error().Err(err).Msg("daemon stops after a fatal error")
		return exitFailed
	case <-signals:
	case <-d.DrainRequested():
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.ShutdownTimeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, s.ShutdownTimeout)
		defer cancel()
	}
	drained := make(chan error, 1)
	go func() { drained <- d.Drain(ctx) }()
	select {
	case err := <-drained:
		if err != nil {
			log.Warn().Err(err).Msg("graceful shutdown did not complete")
		}
	case <-signals:
		cancel()
		log.Warn().Msg("second signal: requests in progress are aborted")
	case err := <-fatal:
		log.Error().Err(err).Msg("daemon stops after a fatal error")
		return exitFailed
	}
	if err := d.Close(); err != nil {
		log.Error().Err(err).Msg("daemon stopped with an error")
		return exitFailed
	}
	log.Info().Msg("daemon stopped")
	return 0
}
