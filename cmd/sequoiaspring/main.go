// Command sequoiaspring routes requests to servers that own their keys exclusively. It runs the process beside an
// upstream and holds the operators' tools.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	// exitInput reports bad arguments, settings, configurations or answers.
	exitInput = 2
)

// errInput marks faults in what the user gave.
var errInput = errors.New("invalid input")

type arguments struct {
	Run           *runCommand           `arg:"subcommand:run" help:"run the process beside an upstream, until SIGTERM or a drain"`
	Platform      *platformCommand      `arg:"subcommand:platform" help:"run the process beside an upstream on the users' platform, until SIGTERM"`
	Check         *checkCommand         `arg:"subcommand:check" help:"check settings or a configuration without using them"`
	Demo          *demoCommand          `arg:"subcommand:demo" help:"run a whole deployment on loopback under load, with a loss and a drain"`
	Apply         *applyCommand         `arg:"subcommand:apply" help:"put a configuration document in force in every process"`
	Status        *statusCommand        `arg:"subcommand:status" help:"show one process's lease, the members and the services"`
	Explain       *explainCommand       `arg:"subcommand:explain" help:"show who owns a key, why and since when"`
	Move          *moveCommand          `arg:"subcommand:move" help:"move shards or hot keys to an instance"`
	Drain         *drainCommand         `arg:"subcommand:drain" help:"hand over all keys of a process and stop it"`
	ConfirmLoss   *confirmLossCommand   `arg:"subcommand:confirm-loss" help:"DANGEROUS: give away the keys of a lost process whose witnesses are lost too"`
	Replay        *replayCommand        `arg:"subcommand:replay" help:"replay a recorded trace against the placement policy and its baselines"`
	Questionnaire *questionnaireCommand `arg:"subcommand:questionnaire" help:"derive a configuration from answers and write it to standard output"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "sequoiaspring routes each request to the one server that owns its key.\n" +
		"Exit codes: 0 success, 1 a failed operation or a violated invariant, 2 invalid input."
}

// command is what each subcommand does. Results go to out; faults are returned.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

func (a *arguments) selected() command {
	switch {
	case a.Run != nil:
		return a.Run
	case a.Platform != nil:
		return a.Platform
	case a.Check != nil:
		return a.Check
	case a.Demo != nil:
		return a.Demo
	case a.Apply != nil:
		return a.Apply
	case a.Status != nil:
		return a.Status
	case a.Explain != nil:
		return a.Explain
	case a.Move != nil:
		return a.Move
	case a.Drain != nil:
		return a.Drain
	case a.ConfirmLoss != nil:
		return a.ConfirmLoss
	case a.Replay != nil:
		return a.Replay
	case a.Questionnaire != nil:
		return a.Questionnaire
	}
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// execute runs one command line and returns the exit code.
func execute(ctx context.Context, args []string, out, faults io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "sequoiaspring"}, &a)
	if err != nil {
		fmt.Fprintln(faults, err)
		return exitInput
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(out, p)
		return exitOK
	case err != nil:
		_ = p.WriteUsageForSubcommand(faults, p.SubcommandNames()...)
		fmt.Fprintln(faults, "error:", err)
		return exitInput
	}
	cmd := a.selected()
	if cmd == nil {
		p.WriteHelp(faults)
		return exitInput
	}
	if err := cmd.run(ctx, out); err != nil {
		fmt.Fprintln(faults, err)
		if errors.Is(err, errInput) {
			return exitInput
		}
		return exitFailure
	}
	return exitOK
}

// writeHelp writes the help of the chosen subcommand, or of the program. go-arg describes only the program, so the
// subcommand's own description goes first.
func writeHelp(out io.Writer, p *arg.Parser) {
	names := p.SubcommandNames()
	for _, name := range names {
		fmt.Fprintf(out, "%s: %s.\n\n", name, subcommandHelp(name))
	}
	_ = p.WriteHelpForSubcommand(out, names...)
}

// subcommandHelp returns the text that the list of subcommands shows.
func subcommandHelp(name string) string {
	for f := range reflect.TypeFor[arguments]().Fields() {
		if f.Tag.Get("arg") == "subcommand:"+name {
			return f.Tag.Get("help")
		}
	}
	return ""
}

// inputFault is a fault in what the user gave, shown without further context.
type inputFault struct {
	err error
}

func (f inputFault) Error() string {
	return f.err.Error()
}

func (f inputFault) Unwrap() []error {
	return []error{errInput, f.err}
}
