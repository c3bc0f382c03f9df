//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// settingsText is a settings file like that of DEPLOY.md, with the bounds of thottam-live.
const settingsText = `node-name=%[1]s
role=entry
machine-class=edge
serves=edge,control,directory
ip=%[2]s
zone=dc-a
region=r
zones.dc-a=r
listen-addrs.frontend=%[2]s:8001
listen-addrs.ready=%[2]s:8002
listen-addrs.directory-service=%[2]s:8003
listen-addrs.control-plane=%[2]s:8006
seed-nodes=%[3]s
internal-port-range=8004,8005
bootstrap=true
limits.cpu-share=0.4
limits.cpu-cores=1
limits.memory-mb=284
limits.max-fds=4200
limits.link-mbps=1000.0
heartbeat-ms=1200
bounds.seed-lag-s=3
bounds.addr-reuse-s=2
bounds.stable-window-ms=3000
bounds.ack-timeout-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.max-stretch-ms=5000
bounds.retry-budget-ratio=0.2
bounds.retry-window-s=10
bounds.budget-slack=52
bounds.recovery-s=12
bounds.pass-ms=120
bounds.retry-after-s=0
bounds.fencing-enforced=false
bounds.lease-ms=3000
bounds.thaw-slack-ms=300
bounds.ceiling-window-s=5
bounds.load-burst-factor=1.1
bounds.ttl_max_s=5
platform.address=%[4]s
platform.form=log
platform.writes-per-s=400
platform.reads-per-s=2000
platform.parts=16
platform.append-ms=3.0
platform.record-bytes=262144
platform.request-bytes=2097152
platform.keep_s=20
`

// instance is an entry instance, which runs as a process of its own.
type instance struct {
	name, ip string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	ended    chan struct{}
}

func (i *instance) caller() string { return i.ip + ":8001" }

// newNet returns a loopback network of which no process uses the ports of the instances.
func newNet(instances int) string {
	for n := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 10+(os.Getpid()+n)%200, 1+(os.Getpid()/200)%200)
		isFree := true
		for k := range instances {
			for port := 8001; port <= 8006; port++ {
				ln, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, k+1, port))
				if err != nil {
					isFree = false
					continue
				}
				_ = ln.Close()
			}
		}
		if isFree {
			return prefix
		}
	}
	return ""
}

// newInstances returns an instance for each address of the store.
func newInstances(dir, prefix string, stores []string) []*instance {
	count := len(stores)
	var seeds []string
	for k := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8006", prefix, k+1))
	}
	var out []*instance
	for k := range count {
		i := &instance{name: fmt.Sprintf("edge-%d", k+1), ip: fmt.Sprintf("%s.%d", prefix, k+1)}
		i.settings = filepath.Join(dir, i.name+".conf")
		check(os.WriteFile(i.settings, fmt.Appendf(nil, settingsText, i.name, i.ip, strings.Join(seeds, ","), stores[k]), 0o600))
		log, err := os.Create(filepath.Join(dir, i.name+".log"))
		check(err)
		i.log = log
		out = append(out, i)
	}
	return out
}

// start starts the process with the command and the environment of deploy/system.toml.
func (i *instance) start() {
	i.cmd = exec.Command("target/primrosedrift", "entry")
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", "GOGC=50", "PRIMROSEDRIFT_CONFIG=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	check(i.cmd.Start())
	ended := make(chan struct{})
	i.ended = ended
	cmd := i.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

func (i *instance) signal(sig syscall.Signal) {
	if i.cmd != nil && i.cmd.Process != nil {
		_ = i.cmd.Process.Signal(sig)
	}
}

func (i *instance) kill() {
	if i.ended == nil {
		return // it was never started
	}
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-i.ended
}
