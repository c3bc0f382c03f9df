// Command standin plays the cases of this review: it stands in for the platform's store, for replicas and for
// clients, and starts the project's entry instances as processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime ends a case that hangs.
const maxTime = 105 * time.Second

var cases = map[string]func(*rig) (broken bool, err error){}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "replica" {
		runReplica(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	var err error
	if record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	r, err := newRig()
	if err != nil {
		note("not run: %v", err)
		return exitNotRun
	}
	defer r.stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case x := <-stop:
			note("not run: ended by a signal: %v", x)
		case <-time.After(maxTime):
			note("not run: the case has hung")
		}
		r.stop()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[name](r)
	switch {
	case err != nil:
		note("not run: %v", err)
		return exitNotRun
	case broken:
		note("the rule was broken")
		return exitBroken
	}
	note("the rule held")
	return exitHeld
}
