//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

const (
	// Ports of an instance on its loopback address.
	portFrontend, portReady, portDirectory, portSeed, portPeer = 8149, 8141, 8143, 8144, 7380

	numInstances      = 4
	heartbeatInterval = 1200 * time.Millisecond // heartbeat-ms of the settings
	readyTimeout      = 20 * time.Second

	host  = "ficu95.example"
	model = "daka510000"
)

// settings are those of DEPLOY.md for a small deployment.
const settings = `node-name=%[1]s
role=entry
machine-class=edge
serves=edge,control,directory
ip=%[2]s
zone=zone-a
region=r
zones.zone-a=r
listen-addrs.frontend=%[2]s:8149
listen-addrs.ready=%[2]s:8141
listen-addrs.control-plane=%[2]s:8144
listen-addrs.directory-service=%[2]s:8143
internal-port-range=7380,7395
seed-nodes=%[3]s
bootstrap=true
limits.cpu-share=0.4
limits.cpu-cores=1
limits.memory-mb=284
limits.max-fds=4200
limits.link-mbps=1000.0
limits.disk-mb=0
heartbeat-ms=1200
bounds.stable-window-ms=3000
bounds.drain-ms=2000
bounds.grace-s=8
bounds.config-apply-ms=2000
bounds.retry-budget-ratio=0.2
bounds.retry-window-s=10
bounds.budget-slack=52
bounds.recovery-s=12
bounds.pass-ms=120
bounds.lease-ms=3000
bounds.ttl_max_s=5
platform.address=%[4]s
platform.form=log
`

// config has a plain service and a service of engines, with the limits of the small sites.
const config = `{"version":7,"routes":[
{"name":"r-plain","host":"ficu95.example","path-prefix":"/plain/","route-type":"idempotent","timeout-ms":25000,"target-latency-ms":2500,"priority":2,"service":"plain","max-attempts":2},
{"name":"r-once","host":"ficu95.example","path-prefix":"/once/","route-type":"non_idempotent","timeout-ms":25000,"target-latency-ms":2500,"priority":2,"service":"plain","max-attempts":1},
{"name":"r-stream","host":"ficu95.example","path-prefix":"/stream/","route-type":"streaming","timeout-ms":25000,"target-latency-ms":2500,"priority":1,"service":"lm","max-attempts":1,"sticky":true,"resumable":false,"target-gap-ms":200},
{"name":"r-resume","host":"ficu95.example","path-prefix":"/resume/","route-type":"streaming","timeout-ms":25000,"target-latency-ms":2500,"priority":1,"service":"lm","max-attempts":2,"sticky":true,"resumable":true,"target-gap-ms":200}],
"services":[{"name":"plain","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false},
{"name":"lm","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":114136,"models":[
{"name":"daka510000","weights-mb":72700.0,"load-time-s":6.0,"adapters":0,"adapter-mb":66.0,"warmup-s":0.47,"disk-load-s":0.84}],"weights-mb":160000.0,"adapter-slots":8,"loads-per-s":3.7}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// fleet holds the processes of a case and the record of what was sent, answered and run.
type fleet struct {
	program, dir, base string
	began              time.Time
	store              *store
	storeServer        *http.Server

	mu        sync.Mutex
	record    *os.File
	instances []*process
	replicas  []*process
	isClosed  bool
	ran       map[string][]string // ids of replicas by id of request
	done      map[string]bool     // requests whose answer a replica has sent to its end
	endless   map[string]bool     // requests that a replica answered without an end
}

// process is a process of an instance or of a replica.
type process struct {
	name, address string
	cmd           *exec.Cmd
	exited        chan struct{}

	// Of a replica.
	service, state string
	born, sequence int64
	isLost         bool // it writes no heartbeats any more
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) } // fails only if it has ended

func newFleet(program, record string) (*fleet, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, dir: dir, began: time.Now(), record: out, store: newStore(), ran: make(map[string][]string), done: make(map[string]bool), endless: make(map[string]bool)}
	if f.base, err = freeBase(); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeServer = &http.Server{Addr: ln.Addr().String(), Handler: f.store.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.storeServer.Serve(ln) }()
	f.store.put("keyed.op", "config", []byte(config))
	return f, nil
}

// freeBase returns the first three bytes of loopback addresses whose ports are free.
func freeBase() (string, error) {
	for n := range 100 {
		base := fmt.Sprintf("127.%d.%d", 1+(os.Getpid()+n)%250, 1+os.Getpid()/250%250)
		isFree := true
		for i := range numInstances {
			for _, port := range []int{portFrontend, portReady, portDirectory, portSeed, portPeer, portPeer + 1} {
				ln, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", base, i+1, port))
				if err != nil {
					isFree = false
					continue
				}
				_ = ln.Close()
			}
		}
		if isFree {
			return base, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (f *fleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f "+format+"\n", append([]any{time.Since(f.began).Seconds()}, args...)...)
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	f.isClosed = true // replicas that start from here on are ended there
	list := append(append([]*process{}, f.instances...), f.replicas...)
	f.mu.Unlock()
	for _, p := range list {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	_ = f.storeServer.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// startInstances starts the instances and returns when each of them serves the paths.
func (f *fleet) startInstances(paths ...string) error {
	var seeds []string
	for n := range numInstances {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", f.base, n+1, portSeed))
	}
	for n := range numInstances {
		ip := fmt.Sprintf("%s.%d", f.base, n+1)
		path := filepath.Join(f.dir, fmt.Sprint("settings-", n))
		text := fmt.Sprintf(settings, fmt.Sprint("edge-", n+1), ip, strings.Join(seeds, ","), f.storeServer.Addr)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		out, err := os.Create(filepath.Join(f.dir, fmt.Sprint("log-", n)))
		if err != nil {
			return err
		}
		p := &process{name: fmt.Sprint("edge-", n+1), address: fmt.Sprintf("%s:%d", ip, portFrontend), exited: make(chan struct{})}
		p.cmd = exec.Command(f.program, "entry") //nolint:gosec // the program under test
		p.cmd.Env = append(os.Environ(), "PRIMROSEDRIFT_CONFIG="+path, "GOMAXPROCS=1", "GOGC=50")
		p.cmd.Stdout, p.cmd.Stderr = out, out
		if err := f.start(p); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, p := range f.instances {
		for _, path := range paths {
			for n := 0; ; n++ {
				a := f.send(context.Background(), p.address, &request{id: fmt.Sprintf("ready-%s-%s-%d", p.name, strings.Trim(strings.SplitN(path, "?", 2)[0], "/"), n), path: path})
				if a.status == http.StatusOK && a.isWhole {
					break
				}
				if time.Now().After(deadline) {
					return fmt.Errorf("%s does not serve %s: status %d, %w", p.name, path, a.status, a.err)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
	}
	return nil
}

// start starts the process of an instance.
func (f *fleet) start(p *process) error {
	if err := f.startIfOpen(p, &f.instances); err != nil {
		return err
	}
	f.log("%s started", p.name)
	go func() {
		_ = p.cmd.Wait()
		f.log("%s ended: %s", p.name, p.cmd.ProcessState)
		close(p.exited)
	}()
	return nil
}

// startReplica starts a replica at an address, a free one if it is empty, and registers it.
func (f *fleet) startReplica(id, service, address string, args ...string) (*process, error) {
	if address == "" {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		address = ln.Addr().String()
		_ = ln.Close() // the replica listens there next
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{name: id, service: service, address: address, state: "ready", born: time.Now().UnixMilli(), exited: make(chan struct{})}
	if service == "lm" {
		args = append(args, "--model", model)
	}
	p.cmd = exec.Command(self, append([]string{"replica", "--listen", address, "--id", id, "--service", service, "--born", fmt.Sprint(p.born)}, args...)...) //nolint:gosec // this program
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := f.startIfOpen(p, &f.replicas); err != nil {
		return nil, err
	}
	f.log("%s started, service %s at %s", id, service, address)
	go func() {
		scanLines(out, func(line string) { f.note(id, line) })
		_ = p.cmd.Wait()
		f.log("%s ended: %s", id, p.cmd.ProcessState)
		close(p.exited)
	}()
	for n := 0; ; n++ { // until it listens
		c, err := net.Dial("tcp4", address)
		if err == nil {
			_ = c.Close()
			break
		}
		if n == 100 {
			return nil, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.register(p)
	go func() {
		tick := time.NewTicker(heartbeatInterval)
		defer tick.Stop()
		for {
			select {
			case <-p.exited:
				return
			case <-tick.C:
				f.register(p)
			}
		}
	}()
	return p, nil
}

// startIfOpen starts a process and adds it to a list, unless the case is over.
func (f *fleet) startIfOpen(p *process, list *[]*process) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosed {
		return errors.New("the case is over")
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	*list = append(*list, p)
	return nil
}

// note records what a replica says.
func (f *fleet) note(replica, line string) {
	f.log("%s: %s", replica, line)
	words := strings.Fields(line)
	if len(words) < 2 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch words[0] {
	case "run":
		f.ran[words[1]] = append(f.ran[words[1]], replica)
	case "done":
		f.done[words[1]] = true
	case "endless":
		f.endless[words[1]] = true
	}
}

// register writes the registration of a replica.
func (f *fleet) register(p *process) {
	f.mu.Lock()
	if p.isLost {
		f.mu.Unlock()
		return
	}
	p.sequence++
	models := []string{}
	if p.service == "lm" {
		models = append(models, model)
	}
	fields := map[string]any{
		"service": p.service, "address": p.address, "zone": "zone-a", "version": "v1", "slots": 64, "state": p.state, "cold-remaining-ms": 0,
		"sequence": p.sequence, "born": p.born, "models": modelList(models), "stage": "combined",
		"available": map[string]any{"resident": []string{}, "on-disk": models},
	}
	if p.state == "draining" {
		fields["remaining-ms"] = spotNotice.Milliseconds()
	}
	f.mu.Unlock()
	b, _ := json.Marshal(fields) // maps of plain values do not fail
	f.store.put("keyed.servers", p.name, b)
}

// setState changes the state of a replica and registers it.
func (f *fleet) setState(p *process, state string) {
	f.mu.Lock()
	p.state = state
	f.mu.Unlock()
	f.log("%s reports %s", p.name, state)
	f.register(p)
}

// removeAfterSilence removes the registration of a replica that has ended after three heartbeats.
func (f *fleet) removeAfterSilence(p *process) {
	f.mu.Lock()
	p.isLost = true
	f.mu.Unlock()
	time.AfterFunc(3*heartbeatInterval, func() {
		f.log("the registration of %s is removed", p.name)
		f.store.put("keyed.servers", p.name, nil)
	})
}

// request is a request of a client.
type request struct {
	id, path, lastEvent, resumes string
	// rate is how many bytes a second the client reads, 0 for as many as there are, and socketBytes the size
	// of its receive buffer, 0 for the default.
	rate, socketBytes int
	// pause is how long the client reads nothing after the head of the answer.
	pause time.Duration
	// numFirst is how many requests for firstPath the client sends before on the channel, at least one.
	numFirst  int
	firstPath string
	// conn is the channel to send it on, nil for one of its own.
	conn *clientConn
}

// answer is what a client has got.
type answer struct {
	address   string // of the machine
	status    int
	stamp, id string
	body      []byte
	isWhole   bool // it has ended as its framing says
	closes    bool // it says that the channel closes
	err       error
}

// lastID returns the id of the last whole event.
func (a answer) lastID() (id string) {
	events := a.body[:bytes.LastIndex(a.body, []byte("\n\n"))+1]
	for line := range strings.SplitSeq(string(events), "\n") {
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
		}
	}
	return id
}

// clientConn is a channel that a client keeps.
type clientConn struct {
	net.Conn
	r *pacedReader
}

// pacedReader reads so many bytes a second.
type pacedReader struct {
	r    io.Reader
	rate int
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if p.rate == 0 {
		return p.r.Read(b)
	}
	const slice = 100 * time.Millisecond
	time.Sleep(slice)
	return p.r.Read(b[:min(len(b), p.rate/int(time.Second/slice))])
}

func dialClient(ctx context.Context, address string, socketBytes int) (*clientConn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		if socketBytes == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes) // the default is larger
		})
	}}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, &pacedReader{r: c}}, nil
}
