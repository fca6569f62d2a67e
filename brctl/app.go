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

// App is one run of the tool.
type App struct {
	kingpin  *kingpin.Application
	commands map[string]func(context.Context) error
	in       io.Reader
	out      io.Writer
	errors   io.Writer
	now      func() time.Time
	newID    func() string
	pause    func(context.Context, time.Duration) error

	address string
	key     string
	output  string
	timeout time.Duration
}

// Options are what a run reads from and writes to. All fields are required.
type Options struct {
	In     io.Reader
	Out    io.Writer // answers
	Errors io.Writer // command ids, warnings and failures
	Now    func() time.Time
	NewID  func() string                                    // a new command id
	Pause  func(ctx context.Context, d time.Duration) error // between two looks at a rollout
}

// New returns the tool with all its commands. It panics if an option is missing.
func New(o Options) *App {
	if o.In == nil || o.Out == nil || o.Errors == nil || o.Now == nil || o.NewID == nil || o.Pause == nil {
		panic("brctl: option is missing")
	}
	a := &App{
		kingpin:  kingpin.New("bramleyctl", help()),
		commands: map[string]func(context.Context) error{},
		in:       o.In, out: o.Out, errors: o.Errors, now: o.Now, newID: o.NewID, pause: o.Pause,
	}
	k := a.kingpin
	k.UsageWriter(o.Out).ErrorWriter(o.Errors).HelpFlag.Short('h')
	k.Flag("address", "Operators' addresses of daemons as ip:port, separated by commas; they are tried in turn.").
		Envar("BRAMLEYCTL_ADDRESS").Default("127.0.0.1:8082").PlaceHolder("IP:PORT,...").StringVar(&a.address)
	k.Flag("key", "Operator key. It should come from the environment, because other users of a VM can see the flags of a process.").
		Envar("BRAMLEYCTL_KEY").PlaceHolder("KEY").StringVar(&a.key)
	k.Flag("output", "table for people or json for scripts.").Short('o').
		Envar("BRAMLEYCTL_OUTPUT").Default(outputTable).EnumVar(&a.output, outputTable, outputJSON)
	k.Flag("timeout", "Time for the answer of each address.").
		Envar("BRAMLEYCTL_TIMEOUT").Default("8s").DurationVar(&a.timeout)
	a.addStatus()
	a.addConfig()
	a.addRollout()
	a.addTimeline()
	a.addReplicas()
	a.addForget()
	return a
}

func help() string {
	return "Operates a bramleyroute installation through the operators' listener of any daemon.\n\nExit codes:\n  " +
		strings.Join(ExitCodes(), "\n  ") +
		"\n\nShell completion: eval \"$(bramleyctl --completion-script-bash)\" (or -zsh)."
}

// Run parses the arguments, carries the command out and returns the exit code.
// Help and completion end the process, as kingpin has it.
func (a *App) Run(ctx context.Context, args []string) int {
	args = slices.Clone(args)
	for i, x := range args {
		if x == "-" {
			args[i] = stdinFile // kingpin makes an empty argument of a dash
		}
	}
	name, err := a.kingpin.Parse(args)
	if err != nil {
		fmt.Fprintf(a.errors, "bramleyctl: %v; see bramleyctl --help\n", err)
		return ExitUsage
	}
	if a.timeout <= 0 {
		err = usageError{"--timeout: must be above 0"}
	} else {
		err = a.commands[name](ctx)
	}
	var silent silentError
	if err != nil && !errors.As(err, &silent) {
		fmt.Fprintln(a.errors, "bramleyctl:", err)
	}
	if errors.As(err, &silent) {
		return silent.code
	}
	return exitCode(err)
}

// silentError ends the run with a code after everything was printed.
type silentError struct{ code int }

// Error returns the code.
func (e silentError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// add registers the function of a command.
func (a *App) add(c *kingpin.CmdClause, run func(context.Context, client) error) {
	a.commands[c.FullCommand()] = func(ctx context.Context) error {
		addresses, err := parseAddresses(a.address)
		if err != nil {
			return err
		}
		return run(ctx, client{addresses: addresses, key: a.key, timeout: a.timeout})
	}
}

// commandID adds the flag of a command that changes something.
func commandID(c *kingpin.CmdClause) *string {
	return c.Flag("command-id", "Id of a command that was sent before; it gets its first answer. Without it a new id is made.").PlaceHolder("ID").String()
}

// announce returns the command's id and prints it before the command is sent,
// so that the command can be sent again after a crash of this tool.
func (a *App) announce(id string) string {
	if id == "" {
		id = a.newID()
	}
	fmt.Fprintln(a.errors, "command id", id)
	return id
}

func (a *App) warnMissing(missing []string) {
	if len(missing) > 0 {
		fmt.Fprintln(a.errors, "warning: no answer from", strings.Join(missing, ", "))
	}
}
