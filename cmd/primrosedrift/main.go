// Command primrosedrift runs an entry instance, and is the operators' and the
// callers' tool.
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
	exitFailed  = 1 // the command failed; the message says what to do
	exitUsage   = 2 // the command line, settings or operators' file is at fault
	exitLost    = 3 // publish lost a race
	exitUnknown = 4 // the outcome is unknown
	exitRefused = 5 // a request was refused as not run
	exitMayRun  = 6 // a request was refused and may have run
)

// exitError ends the program with a code.
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
	var e exitError
	if errors.As(err, &e) {
		os.Exit(e.code)
	}
	os.Exit(exitFailed)
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "primrosedrift",
		Usage: "serves rarely used models",
		Flags: tlsFlags(),
		Commands: []*cli.Command{
			serveCommand(), checkCommand(), publishCommand(), getCommand(), explainCommand(), callCommand(), benchCommand(), reportCommand(), versionCommand(),
		},
	}
}
