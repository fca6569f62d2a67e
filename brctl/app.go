package brctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// App is bramleyctl, for one run.
type App struct {
	kingpin  *kingpin.Application
	commands map[string]func(context.Context) error
	in       io.Reader
	out      io.Writer
	errOut   io.Writer
	now      func() time.Time
	newID    func() string
	pause    func(context.Context, time.Duration) error

	address string
	key     string
	output  string
	timeout time.Duration
}

// Options configures an App. All fields are required.
type Options struct {
	In     io.Reader
	Out    io.Writer // results
	Errors io.Writer // command IDs, warnings and errors
	Now    func() time.Time
	NewID  func() string                                    // returns a new command ID
	Pause  func(ctx context.Context, d time.Duration) error // waits between two queries of a rollout's state
}

// New returns an App with all commands. It panics if an option is missing.
func New(o Options) *App {
	if o.In == nil || o.Out == nil || o.Errors == nil || o.Now == nil || o.NewID == nil || o.Pause == nil {
		panic("brctl: missing option")
	}
	a := &App{
		kingpin:  kingpin.New("bramleyctl", help()),
		commands: map[string]func(context.Context) error{},
		in:       o.In, out: o.Out, errOut: o.Errors, now: o.Now, newID: o.NewID, pause: o.Pause,
	}
	k := a.kingpin
	k.UsageWriter(o.Out).ErrorWriter(o.Errors).HelpFlag.Short('h')
	k.Flag("address", "Addresses of the daemons' operator listeners as ip:port, separated by commas; they are tried in turn.").
		Envar("BRAMLEYCTL_ADDRESS").Default("127.0.0.1:8082").PlaceHolder("IP:PORT,...").StringVar(&a.address)
	k.Flag("key", "Operator key. Set it in the environment, because other users of the VM can see the flags of a process.").
		Envar("BRAMLEYCTL_KEY").PlaceHolder("KEY").StringVar(&a.key)
	k.Flag("output", "table for people or json for scripts.").Short('o').
		Envar("BRAMLEYCTL_OUTPUT").Default(outputTable).EnumVar(&a.output, outputTable, outputJSON)
	k.Flag("timeout", "Timeout for the response of each address.").
		Envar("BRAMLEYCTL_TIMEOUT").Default("8s").DurationVar(&a.timeout)
	a.addStatus()
	a.addConfig()
	a.addRollout()
	a.addTimeline()
	a.addReplicas()
	a.addForget()
	a.addEvacuation()
	return a
}

func help() string {
	return "Operates a bramleyroute installation through the operators' listener of any daemon.\n\nExit codes:\n  " +
		strings.Join(ExitCodes(), "\n  ") +
		"\n\nShell completion: eval \"$(bramleyctl --completion-script-bash)\" (or -zsh)."
}

// Run parses the arguments, runs the command and returns the exit code. The
// flags for help and completion end the process, as defined by kingpin.
func (a *App) Run(ctx context.Context, args []string) int {
	args = slices.Clone(args)
	for i, x := range args {
		if x == "-" {
			args[i] = stdinFile // kingpin parses a dash as an empty argument
		}
	}
	name, err := a.kingpin.Parse(args)
	if err != nil {
		fmt.Fprintf(a.errOut, "bramleyctl: %v; see bramleyctl --help\n", err)
		return ExitUsage
	}
	if a.timeout <= 0 {
		err = usageError{"--timeout: must be above 0"}
	} else {
		err = a.commands[name](ctx)
	}
	var exit exitCodeError
	if err != nil && !errors.As(err, &exit) {
		fmt.Fprintln(a.errOut, "bramleyctl:", err)
	}
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitCode(err)
}

// exitCodeError ends the run with an exit code after all output was printed.
type exitCodeError struct{ code int }

// Error returns the exit code as text.
func (e exitCodeError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// add registers the function that runs a command.
func (a *App) add(c *kingpin.CmdClause, run func(context.Context, client) error) {
	a.commands[c.FullCommand()] = func(ctx context.Context) error {
		addresses, err := parseAddresses(a.address)
		if err != nil {
			return err
		}
		return run(ctx, client{addresses: addresses, key: a.key, timeout: a.timeout})
	}
}

// commandID adds the flag for the ID of a command that changes something.
func commandID(c *kingpin.CmdClause) *string {
	return c.Flag("command-id", "ID of a command that was sent before; the response is that to the first attempt. Without the flag a new ID is created.").PlaceHolder("ID").String()
}

// printCommandID returns the command's ID, which it creates if id is empty. It
// prints the ID before the command is sent, so that the command can be sent
// again after a crash of the tool.
func (a *App) printCommandID(id string) string {
	if id == "" {
		id = a.newID()
	}
	fmt.Fprintln(a.errOut, "command id", id)
	return id
}

func (a *App) warnMissing(missing []string) {
	if len(missing) > 0 {
		fmt.Fprintln(a.errOut, "warning: no response from", strings.Join(missing, ", "))
	}
}
