package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

var (
	started  = time.Now()
	recordMu sync.Mutex
	record   *os.File
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(started).Seconds()) + fmt.Sprintf(format, args...)
	if record != nil {
		_, _ = fmt.Fprintln(record, line)
	}
	fmt.Println(line)
}

// rig is a small deployment: the store, entry instances and replicas.
type rig struct {
	dir       string
	store     *store
	instances []*instance
	procs     []*exec.Cmd
	mu        sync.Mutex
	runs      []run
	onLine    func(replica, line string)
	extra     []string // further lines of the settings
}

// run is what a replica says of a request.
type run struct {
	replica, event, id, rest string
	at                       time.Time
}

type instance struct {
	name, ip, zone string
	cmd            *exec.Cmd
	rig            *rig
	log            string
}

func (i *instance) frontend() string  { return i.ip + ":18149" }
func (i *instance) directory() string { return i.ip + ":18143" }
func (i *instance) ready() string     { return i.ip + ":18141" }

func newRig() (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir}
	r.store, err = startStore("127.0.0.1:0")
	return r, err
}

// spawn starts a process and passes its lines on.
func (r *rig) spawn(name string, env []string, onLine func(string), args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C"}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.procs = append(r.procs, cmd)
	r.mu.Unlock()
	note("%s started, process %d", name, cmd.Process.Pid)
	go func() {
		sc := bufio.NewScanner(out)
		sc.Buffer(make([]byte, 64<<10), 4<<20)
		for sc.Scan() {
			onLine(sc.Text())
		}
	}()
	return cmd, nil
}

// startInstances starts entry instances with the command of the deploy file.
func (r *rig) startInstances(zones ...string) error {
	for n, zone := range zones {
		ip, err := freeIP()
		if err != nil {
			return err
		}
		i := &instance{name: fmt.Sprintf("edge-%d", n+1), ip: ip, zone: zone, rig: r}
		i.log = filepath.Join(r.dir, i.name+".log")
		r.instances = append(r.instances, i)
	}
	for _, i := range r.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return r.await(15*time.Second, "instances are ready", func() bool {
		for _, i := range r.instances {
			if status(i.ready(), "/readyz") != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (i *instance) start() error {
	r := i.rig
	var seeds []string
	for _, x := range r.instances {
		seeds = append(seeds, x.ip+":18144")
	}
	lines := []string{
		"node-name=" + i.name, "role=entry", "machine-class=edge", "serves=edge,directory,control", "ip=" + i.ip, "zone=" + i.zone, "region=r",
		"listen-addrs.frontend=" + i.frontend(), "listen-addrs.ready=" + i.ready(), "listen-addrs.control-plane=" + i.ip + ":18144",
		"listen-addrs.directory-service=" + i.directory(), "internal-port-range=17380,17395", "seed-nodes=" + strings.Join(seeds[:min(3, len(seeds))], ","),
		"limits.cpu-share=0.4", "limits.cpu-cores=1", "limits.memory-mb=284", "limits.max-fds=4200", "heartbeat-ms=1200",
		"bounds.seed-lag-s=3", "bounds.addr-reuse-s=2", "bounds.stable-window-ms=3000", "bounds.ack-timeout-ms=4000", "bounds.catch-up-s=4",
		"bounds.drain-ms=2000", "bounds.grace-s=8", "bounds.loss-slack-ms=200", "bounds.config-apply-ms=2000", "bounds.rollback-slack-ms=250",
		"bounds.max-stretch-ms=5000", "bounds.retry-budget-ratio=0.2", "bounds.retry-window-s=10", "bounds.budget-slack=52", "bounds.recovery-s=12",
		"bounds.pass-ms=120", "bounds.fencing-enforced=false", "bounds.lease-ms=3000", "bounds.thaw-slack-ms=300", "bounds.ceiling-window-s=5",
		"bounds.load-burst-factor=1.1", "bounds.ttl_max_s=5", "platform.address=" + r.store.address(), "platform.form=log",
	}
	lines = append(lines, r.extra...)
	path := filepath.Join(r.dir, i.name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.cmd, err = r.spawn(i.name, []string{"PRIMROSEDRIFT_CONFIG=" + path, "GOMAXPROCS=1", "GOGC=50"}, func(line string) { _, _ = fmt.Fprintln(log, line) }, program(), "entry")
	return err
}

func (i *instance) signal(s syscall.Signal) {
	note("%s gets %v", i.name, s)
	_ = i.cmd.Process.Signal(s)
}

// program returns the path of the project's program, as the deploy file builds it.
func program() string { return filepath.Join(os.Getenv("REVIEW_TOP"), "target", "primrosedrift") }

// replica is a process that stands in for a replica.
type replica struct {
	id, address string
	cmd         *exec.Cmd
}

// startReplica starts a replica of a service at an address.
func (r *rig) startReplica(id, address, service, zone string, args ...string) (*replica, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args = append([]string{self, "replica", "-id", id, "-listen", address, "-service", service, "-zone", zone, "-store", r.store.address()}, args...)
	cmd, err := r.spawn("replica "+id+" of "+service+" at "+address, nil, func(line string) {
		note("%s: %s", id, line)
		f := strings.SplitN(line, " ", 3)
		r.mu.Lock()
		if len(f) >= 2 {
			r.runs = append(r.runs, run{replica: id, event: f[0], id: f[1], rest: strings.Join(f[2:], " "), at: time.Now()})
		}
		r.mu.Unlock()
		if r.onLine != nil {
			r.onLine(id, line)
		}
	}, args...)
	if err != nil {
		return nil, err
	}
	return &replica{id, address, cmd}, nil
}

func (p *replica) signal(s syscall.Signal) {
	note("replica %s gets %v", p.id, s)
	_ = p.cmd.Process.Signal(s)
}

// count returns how often replicas have said an event of a request.
func (r *rig) count(event, id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, x := range r.runs {
		if x.event == event && x.id == id {
			n++
		}
	}
	return n
}

// configure writes the operator's configuration.
func (r *rig) configure(c map[string]any) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	r.store.put(topicOperator, "config", b)
	note("operator: configuration %v acknowledged", c["version"])
	return nil
}

func limits() map[string]any {
	return map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
}

// await waits until a condition holds.
func (r *rig) await(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			note("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// stop ends all processes that were started.
func (r *rig) stop() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	for _, p := range procs {
		_ = p.Wait()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs are kept in", r.dir)
	}
}

// status returns the status of a GET request, 0 for none.
func status(address, path string) int {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// freeIP returns a loopback address at which nothing listens at the ports of an instance.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250), 1+rand.IntN(250))
		isFree := true
		for _, port := range []string{"18141", "18143", "18144", "18149", "17380", "17381"} {
			ln, err := net.Listen("tcp4", ip+":"+port)
			if err != nil {
				isFree = false
				break
			}
			_ = ln.Close()
		}
		if isFree {
			return ip, nil
		}
	}
	return "", errors.New("no free address")
}

// freeAddress returns an address of a loopback IP that nothing listens at.
func freeAddress(ip string) string {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return ip + ":18500"
	}
	defer ln.Close()
	return ln.Addr().String()
}

// hasTrouble reports whether the case plays its disruption.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// served reports whether a replica has run a request.
func (r *rig) served(replica, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		if x.replica == replica && x.event == "runs" && x.id == id {
			return true
		}
	}
	return false
}
