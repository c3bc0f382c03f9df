// Command standin plays the cases of this review: it stands in for the platform's store, for replicas and for
// clients, and starts the project's entry instances as processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

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
