// Command sequoiaspring routes each request to the server that exclusively owns its key. It runs the process beside an
// upstream and provides the operators' commands.
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
	// exitInput means invalid arguments, settings, configurations or questionnaire answers.
	exitInput = 2
)

// errInput is wrapped by all errors that are due to invalid user input.
var errInput = errors.New("invalid input")

type arguments struct {
	Run           *runCommand           `arg:"subcommand:run" help:"run the process beside an upstream, until SIGTERM or a drain"`
	Platform      *platformCommand      `arg:"subcommand:platform" help:"run the process beside an upstream on the users' platform, until SIGTERM"`
	Check         *checkCommand         `arg:"subcommand:check" help:"check settings or a configuration without applying them"`
	Demo          *demoCommand          `arg:"subcommand:demo" help:"run a whole deployment on loopback under load, kill one process and drain another"`
	Apply         *applyCommand         `arg:"subcommand:apply" help:"put a configuration document in force in every process"`
	Status        *statusCommand        `arg:"subcommand:status" help:"show one process's lease, the members and the services"`
	Explain       *explainCommand       `arg:"subcommand:explain" help:"show who owns a key, why and since when; on the users' platform, where a request would go now and why"`
	Move          *moveCommand          `arg:"subcommand:move" help:"move shards or hot keys to an instance"`
	Drain         *drainCommand         `arg:"subcommand:drain" help:"hand over all keys of a process and stop it"`
	ConfirmLoss   *confirmLossCommand   `arg:"subcommand:confirm-loss" help:"DANGEROUS: reassign the keys of a lost process whose witnesses are lost too"`
	Replay        *replayCommand        `arg:"subcommand:replay" help:"replay a recorded trace against the placement policy and its baselines"`
	Questionnaire *questionnaireCommand `arg:"subcommand:questionnaire" help:"derive a configuration from answers and write it to standard output"`
}

// Description returns the text that --help shows.
func (arguments) Description() string {
	return "sequoiaspring routes each request to the one server that owns its key.\n" +
		"Exit codes: 0 success, 1 a failed operation or a violated invariant, 2 invalid input."
}

// command is implemented by each subcommand. run writes its results to out.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

func (a *arguments) command() command {
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

// execute runs a command line and returns the exit code.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "sequoiaspring"}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitInput
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(stdout, p)
		return exitOK
	case err != nil:
		_ = p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return exitInput
	}
	cmd := a.command()
	if cmd == nil {
		p.WriteHelp(stderr)
		return exitInput
	}
	if err := cmd.run(ctx, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		if errors.Is(err, errInput) {
			return exitInput
		}
		return exitFailure
	}
	return exitOK
}

// writeHelp writes the help of the selected subcommand, or of the program if there is none. go-arg prints a description
// only for the program, so writeHelp prints that of the subcommand first.
func writeHelp(out io.Writer, p *arg.Parser) {
	names := p.SubcommandNames()
	for _, name := range names {
		fmt.Fprintf(out, "%s: %s.\n\n", name, subcommandHelp(name))
	}
	_ = p.WriteHelpForSubcommand(out, names...)
}

// subcommandHelp returns the help text of a subcommand, as shown in the list of subcommands.
func subcommandHelp(name string) string {
	for f := range reflect.TypeFor[arguments]().Fields() {
		if f.Tag.Get("arg") == "subcommand:"+name {
			return f.Tag.Get("help")
		}
	}
	return ""
}

// inputError is an error in the user's input. Its message is shown without a prefix.
type inputError struct {
	err error
}

func (e inputError) Error() string {
	return e.err.Error()
}

func (e inputError) Unwrap() []error {
	return []error{errInput, e.err}
}
