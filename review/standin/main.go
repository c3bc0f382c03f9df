//go:build review

// Command standin runs the cases of the review: stand-ins of the platform's store, of replicas and of clients
// around entry instances that run as processes of their own.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
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

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	out   *os.File
	runs  []*run
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) addRun(x *run) {
	r.mu.Lock()
	r.runs = append(r.runs, x)
	r.mu.Unlock()
	r.add("replica %s runs %s", x.replica, x.id)
}

// runsOf returns the runs of a request.
func (r *recorder) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.runs {
		if x.id == id {
			out = append(out, *x)
		}
	}
	return out
}

// running returns what a replica reports of the requests that it runs: id, tokens in memory, events made, priority.
func (r *recorder) running(replica string) [][]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := [][]any{}
	for _, x := range r.runs {
		if x.replica == replica && x.endedAt.IsZero() {
			out = append(out, []any{x.id, 100, x.numEvents, 2})
		}
	}
	return out
}

// deployment is what a case plays on.
type deployment struct {
	rec       *recorder
	store     *store
	instances []*instance
	links     []*proxy // from the instances to the store
	dir       string
	isTrouble bool
}

// cases are what can be played, by name. A case returns how the rule was broken, empty if it held.
var cases = make(map[string]func(*deployment) string)

type notRun struct{ err error }

func (n notRun) String() string { return n.err.Error() }

// check ends a case that cannot run.
func check(err error) {
	if err != nil {
		panic(notRun{err})
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(*deployment) string, record string) (code int) {
	d := &deployment{isTrouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, i := range d.instances {
			i.kill()
		}
		if d.dir != "" && os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(d.dir)
		}
		if r := recover(); r != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", r)
			code = exitNotRun
		}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		for _, i := range d.instances {
			i.signal(syscall.SIGKILL)
		}
		os.Exit(exitNotRun)
	}()
	out, err := os.Create(record)
	check(err)
	defer out.Close()
	d.rec = &recorder{began: time.Now(), out: out}
	d.dir, err = os.MkdirTemp("", "review-")
	check(err)
	d.store = newStore()
	broken := f(d)
	if broken != "" {
		d.rec.add("BROKEN %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	d.rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// startInstances starts the store and the instances, and waits until all are ready.
func (d *deployment) startInstances(count int) {
	prefix := newNet(count)
	if prefix == "" {
		check(fmt.Errorf("no free loopback addresses"))
	}
	var stores []string
	for k := range count {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		check(err)
		go d.store.serve(ln, k)
		p := newProxy(ln.Addr().String())
		d.links = append(d.links, p)
		stores = append(stores, p.address)
	}
	d.instances = newInstances(d.dir, prefix, stores)
	for _, i := range d.instances {
		i.start()
	}
	for _, i := range d.instances {
		d.awaitReady(i, 20*time.Second)
	}
	d.rec.add("%d instances are ready", count)
}

// awaitReady waits until an instance says that it is ready.
func (d *deployment) awaitReady(i *instance, limit time.Duration) {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return
		}
		if time.Now().After(end) {
			check(fmt.Errorf("%s is not ready", i.name))
		}
	}
}

func (i *instance) isReady() bool {
	c, err := dial(i.ip + ":8002")
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(c, "GET /readyz HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", i.ip)
	line, err := c.r.ReadString('\n')
	return err == nil && strings.Contains(line, " 200 ")
}
