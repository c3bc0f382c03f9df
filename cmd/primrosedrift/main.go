// Command primrosedrift runs an entry instance, and provides commands for
// operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFailed     = 1 // the command failed; the message says what to do
	exitUsage      = 2 // the command line, the settings or the operators' file is invalid
	exitLostRace   = 3 // publish lost a race
	exitUnknown    = 4 // the outcome is unknown
	exitRefused    = 5 // a request was refused as not run
	exitMayHaveRun = 6 // a request was refused and may have run
)

// exitCodes is the help text on exit codes.
const exitCodes = `Exit codes:
  0  done
  1  the command failed; the message says what to do
  2  the command line, the settings or the operators' file is invalid
  3  publish lost a race to another version; look at what is in force and publish again
  4  unknown whether the change was published; run publish again
  5  call: the request was refused and did not run
  6  call: the request was refused and may have run`

// exitError is an error that sets the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().Run(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "primrosedrift:", err)
	os.Exit(exitCode(err))
}

// exitCode returns the exit code of a command's error.
func exitCode(err error) int {
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

func command() *cli.Command {
	root := &cli.Command{
		Name:        "primrosedrift",
		Usage:       "serves rarely used models",
		Flags:       tlsFlags(),
		Description: exitCodes,
		Commands: []*cli.Command{
			serveCommand(), entryCommand(), checkCommand(), publishCommand(), getCommand(), explainCommand(), callCommand(), benchCommand(), reportCommand(), versionCommand(),
		},
	}
	setUsageExitCode(root)
	return root
}

// setUsageExitCode sets exitUsage as the exit code for usage errors of c and
// all of its sub-commands.
func setUsageExitCode(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return exitError{exitUsage, err}
	}
	for _, sub := range c.Commands {
		setUsageExitCode(sub)
	}
}
