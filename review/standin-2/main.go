//go:build review

// Command standin-2 holds the stand-ins and the drivers of the review cases 6 to 10: a store, replicas
// and clients, and for each case the order of events that it plays.
//
//	standin-2 case NAME --program PATH --record FILE [--trouble=false]
//	standin-2 replica --listen ADDRESS --id ID --service NAME [--model NAME]
//
// A case exits with 1 if its rule was broken, with 0 if it held, and with 2 if it could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
	// maxDuration ends a case that hangs.
	maxDuration = 110 * time.Second
)

func main() {
	if len(os.Args) < 2 {
		fatal(errors.New("no command"))
	}
	switch os.Args[1] {
	case "replica":
		runReplica(os.Args[2:])
	case "case":
		os.Exit(runCase(os.Args[2:]))
	default:
		fatal(fmt.Errorf("unknown command %q", os.Args[1]))
	}
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "standin-2:", err)
	os.Exit(exitNotRun)
}

func runCase(args []string) int {
	if len(args) == 0 || cases[args[0]] == nil {
		fatal(errors.New("no such case"))
	}
	flags := flag.NewFlagSet("case", flag.ExitOnError)
	program := flags.String("program", "target/primrosedrift", "the program under test")
	record := flags.String("record", "record.txt", "the file to which all events are written")
	trouble := flags.Bool("trouble", true, "play the disruption")
	_ = flags.Parse(args[1:]) // exits on an error
	f, err := newFleet(*program, *record)
	if err != nil {
		fatal(err)
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		f.log("ended by a signal: %v", <-stop)
		f.close()
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(maxDuration, func() {
		f.log("the case has hung")
		f.close()
		os.Exit(exitNotRun)
	})
	violations, err := cases[args[0]](f, *trouble)
	if err != nil {
		f.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return exitNotRun
	}
	slices.Sort(violations)
	for _, v := range violations {
		f.log("VIOLATION %s", v)
	}
	f.log("%d violations", len(violations))
	fmt.Printf("%s, trouble %t: %d violations\n%s\n", args[0], *trouble, len(violations), strings.Join(violations[:min(len(violations), 5)], "\n"))
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
