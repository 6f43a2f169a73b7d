// Package cmds implements the command line of mustardnotch.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	mn "mustardnotch"
)

// Exit codes of every command.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed with a result code.
	ExitFailed = 1
	// ExitUsage means that an argument, a setting or a resource was wrong.
	ExitUsage = 2
	// ExitUnknown means that the command failed and its request may have run.
	ExitUnknown = 3
)

// Main runs the command line args, program name first, and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	app := New(os.Stdout, os.Stderr)
	err := app.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "mustardnotch:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var e *mn.Error
	if !errors.As(err, &e) {
		return ExitUsage
	}
	switch {
	case e.Code == mn.BadSetting || e.Code == mn.BadResource:
		return ExitUsage
	case e.Outcome == mn.OutcomeUnknown:
		return ExitUnknown
	}
	return ExitFailed
}

// New returns the root command, which prints to out and errOut.
func New(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:           "mustardnotch",
		Usage:          "serve models and plain HTTP services to customers that share a limited fleet",
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			entryCommand(),
			agentCommand(),
			frontCommand(),
			applyCommand(),
			getCommand(),
			watchCommand(),
			keyCommand(),
			callCommand(),
			loadCommand(),
			checkCommand(),
			explainCommand(),
		},
	}
}

func example(s string) string { return "Example:\n   " + s }
