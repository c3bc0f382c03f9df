//go:build review

// Command standin-3 runs the cases 8 and 9 of this review: stand-ins of the platform, of the servers and
// of the clients, around processes of target/primrosedrift.
//
//	standin-3 CASE RECORD
package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

var plainClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	check(err)
	return &recorder{out: bufio.NewWriter(f), file: f, began: time.Now()}
}

// add adds a line with the time in seconds.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// conclude adds a line and shows it.
func (r *recorder) conclude(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// fail ends the case as one that could not run. The processes of the system end with this one.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	os.Exit(exitNotRun)
}

// trouble returns the value of TROUBLE, "1" unless it is set.
func trouble() string {
	if v, ok := os.LookupEnv("TROUBLE"); ok {
		return v
	}
	return "1"
}

func main() {
	if len(os.Args) < 2 {
		fail("usage: CASE RECORD")
	}
	cases := map[string]func(*recorder) int{"origins": runOrigins, "brittle": runBrittle, "handover": runHandover, "memory": runMemory}
	run, ok := cases[os.Args[1]]
	if !ok || len(os.Args) != 3 {
		fail("unknown case %q", os.Args[1])
	}
	log := newRecorder(os.Args[2])
	time.AfterFunc(maxDuration, func() {
		log.add("the case takes too long")
		log.close()
		fail("it takes longer than %v", maxDuration) // ends the processes that it started, too
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		log.add("ended by a signal: %v", <-stop)
		log.close()
		os.Exit(exitNotRun) // the processes that it started end with it
	}()
	code := run(log)
	log.close()
	os.Exit(code)
}
