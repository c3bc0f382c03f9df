//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is a machine of the system that runs target/primrosedrift entry.
type instance struct {
	name, ip, zone, storeAddress string
	fleet                        *fleet

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// fleet holds the machines of the system. All of them use the same ports.
type fleet struct {
	dir, program string
	store        *store
	instances    []*instance
	firstPort    int
	log          *recorder
}

// Ports by their distance from firstPort.
const (
	portFrontend = iota
	portReady
	portControl
	portDirectory
	portInternal // and the next one
	numPorts     = portInternal + 2
)

// newFleet prepares machines in three zones.
func newFleet(n int, s *store, log *recorder) *fleet {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	f := &fleet{dir: dir, program: "target/primrosedrift", store: s, log: log}
	for i := range n {
		ip := loopback(10 + i)
		name := fmt.Sprintf("edge-%d", i+1)
		f.instances = append(f.instances, &instance{name: name, ip: ip, zone: zoneOf(i), storeAddress: s.listen(loopback(1), name), fleet: f})
	}
	f.firstPort = f.freePorts()
	return f
}

func zoneOf(i int) string { return []string{"zone-a", "zone-b", "zone-c"}[i%3] }

// loopback returns an address of this run's own network of loopback addresses.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, pid/250%250, n)
}

// freePorts returns the first of numPorts ports that are free on all machines.
func (f *fleet) freePorts() int {
	for first := 21000; first < 30000; first += numPorts {
		isFree := true
		for _, i := range f.instances {
			for p := first; p < first+numPorts && isFree; p++ {
				ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", i.ip, p))
				if isFree = err == nil; isFree {
					_ = ln.Close()
				}
			}
		}
		if isFree {
			return first
		}
	}
	fail("no free ports")
	return 0
}

func (i *instance) address(port int) string {
	return fmt.Sprintf("%s:%d", i.ip, i.fleet.firstPort+port)
}

// settings returns the settings file of the machine.
func (i *instance) settings() string {
	var seeds []string
	for _, x := range i.fleet.instances[:min(3, len(i.fleet.instances))] {
		seeds = append(seeds, x.address(portControl))
	}
	lines := []string{
		"node-name=" + i.name, "role=entry", "machine-class=edge", "serves=edge,directory,control", "ip=" + i.ip,
		"zone=" + i.zone, "region=region-a", "zones.zone-a=region-a", "zones.zone-b=region-a", "zones.zone-c=region-a",
		"listen-addrs.frontend=" + i.address(portFrontend), "listen-addrs.ready=" + i.address(portReady),
		"listen-addrs.control-plane=" + i.address(portControl), "listen-addrs.directory-service=" + i.address(portDirectory),
		fmt.Sprintf("internal-port-range=%d,%d", i.fleet.firstPort+portInternal, i.fleet.firstPort+portInternal+1),
		"seed-nodes=" + strings.Join(seeds, ","), "bootstrap=true",
		"limits.cpu-share=0.4", "limits.cpu-cores=1", "limits.memory-mb=284", "limits.max-fds=4200", "limits.link-mbps=1000.0", "limits.disk-mb=0",
		"discovery=platform", "entry=directory", "heartbeat-ms=1200", "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
		"bounds.seed-lag-s=3", "bounds.addr-reuse-s=2", "bounds.stable-window-ms=3000", "bounds.ack-timeout-ms=4000", "bounds.catch-up-s=4",
		"bounds.drain-ms=2000", "bounds.grace-s=8", "bounds.loss-slack-ms=200", "bounds.config-apply-ms=2000", "bounds.rollback-slack-ms=250",
		"bounds.max-stretch-ms=5000", "bounds.retry-budget-ratio=0.2", "bounds.retry-window-s=10", "bounds.budget-slack=54", "bounds.recovery-s=12",
		"bounds.pass-ms=120", "bounds.retry-after-s=0", "bounds.fencing-enforced=false", "bounds.lease-ms=3000", "bounds.thaw-slack-ms=300",
		"bounds.ceiling-window-s=5", "bounds.load-burst-factor=1.1", "bounds.ttl_max_s=5",
		"platform.address=" + i.storeAddress, "platform.form=log", "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.parts=16",
		"platform.append-ms=3.0", "platform.partition-mb-s=20.0", "platform.read-mb-s=80.0", "platform.record-bytes=262144",
		"platform.request-bytes=2097152", "platform.keep_s=300", "platform.partition-mb=200", "platform.min-ttl-ms=1000",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process with the command and the environment of the deploy file.
func (i *instance) start() {
	path := filepath.Join(i.fleet.dir, i.name+".conf")
	check(os.WriteFile(path, []byte(i.settings()), 0o600))
	out, err := os.OpenFile(filepath.Join(i.fleet.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer out.Close()
	cmd := exec.Command(i.fleet.program, "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.fleet.dir, "LANG=C", "PRIMROSEDRIFT_CONFIG=" + path, "GOMAXPROCS=1", "GOGC=50"}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	ended := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.ended = cmd, ended
	i.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	i.fleet.log.add("machine %s at %s starts, process %d", i.name, i.address(portFrontend), cmd.Process.Pid)
}

// signal sends a signal to the process.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fleet.log.add("machine %s gets %v", i.name, sig)
	_ = i.cmd.Process.Signal(sig)
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.ended
}

// isRunning reports whether the process runs.
func (i *instance) isRunning() bool {
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// startAll starts all machines and waits until each says that it is ready.
func (f *fleet) startAll() {
	for _, i := range f.instances {
		i.start()
	}
	f.awaitReady(15 * time.Second)
}

func (f *fleet) awaitReady(timeout time.Duration) {
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, i := range f.instances {
			if resp, err := plainClient.Get("http://" + i.address(portReady) + "/readyz"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					n++
				}
			}
		}
		if n == len(f.instances) {
			f.log.add("all %d machines are ready", n)
			return
		}
		if time.Now().After(end) {
			f.stop()
			fail("only %d of %d machines are ready", n, len(f.instances))
		}
	}
}

// leader returns the machine that has written to the store under a condition most often.
func (f *fleet) leader() *instance {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	most := f.instances[0]
	for _, i := range f.instances {
		if f.store.conditional[i.name] > f.store.conditional[most.name] {
			most = i
		}
	}
	return most
}

// stop ends all processes. The logs are kept if the environment says so.
func (f *fleet) stop() {
	for _, i := range f.instances {
		if i.isRunning() {
			i.mu.Lock()
			_ = i.cmd.Process.Kill()
			i.mu.Unlock()
			<-i.ended
		}
	}
	if to := os.Getenv("REVIEW_KEEP_LOGS"); to != "" {
		_ = os.MkdirAll(to, 0o755)
		for _, i := range f.instances {
			b, _ := os.ReadFile(filepath.Join(f.dir, i.name+".log"))
			_ = os.WriteFile(filepath.Join(to, i.name+".log"), b, 0o600)
		}
	}
	_ = os.RemoveAll(f.dir)
}
