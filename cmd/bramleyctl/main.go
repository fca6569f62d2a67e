package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"bramleyroute/brctl"
	"github.com/google/uuid"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	app := brctl.New(brctl.Options{
		In: os.Stdin, Out: os.Stdout, Errors: os.Stderr, Now: time.Now, NewID: uuid.NewString,
		Pause: func(ctx context.Context, d time.Duration) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(d):
				return nil
			}
		},
	})
	code := app.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
