package brctl_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"bramleyroute/brctl"
)

func Example() {
	app := brctl.New(brctl.Options{
		In: strings.NewReader(""), Out: os.Stdout, Errors: io.Discard, Now: time.Now,
		NewID: func() string { return "11111111-1111-4111-8111-111111111111" },
		Pause: func(ctx context.Context, d time.Duration) error { return ctx.Err() },
	})
	code := app.Run(context.Background(), []string{"--address=no-port", "status"})
	fmt.Println(code == brctl.ExitUsage)
	// Output: true
}
