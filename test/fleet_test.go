package test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/publisher"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/operator/v1/operatorv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/caller"
)

// conditionTimeout is the maximum wait for a condition that must become true.
// No test asserts a duration.
const conditionTimeout = 60 * time.Second

// process is one process under test.
type process struct {
	t      testing.TB
	name   string
	cmd    *exec.Cmd
	output bytes.Buffer
	done   chan struct{}
}

func startProcess(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binDir, program), args...), done: make(chan struct{})}
	p.cmd.Stdout = &p.output
	p.cmd.Stderr = &p.output
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		p.kill()
		if t.Failed() {
			t.Logf("%s:\n%s", name, lastBytes(p.output.String()))
		}
	})
	return p
}

func lastBytes(s string) string {
	const maxBytes = 6000
	if len(s) > maxBytes {
		return s[len(s)-maxBytes:]
	}
	return s
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) signal(s syscall.Signal) {
	require.NoError(p.t, p.cmd.Process.Signal(s))
}

// lastPort is the port that freeAddress returned last. The ports are below the
// kernel's range for outgoing connections, since such a connection could
// otherwise occupy a port before the process under test listens on it.
var lastPort = 20_000

// Each port stays reserved by a lock on a file until this test process ends, since
// another run of the tests on this machine takes its ports from the same range, and
// a restarted process must get its port again.
func freeAddress(t testing.TB) string {
	t.Helper()
	locks := filepath.Join(os.TempDir(), "primrosedrift-test-ports")
	require.NoError(t, os.MkdirAll(locks, 0o700))
	for lastPort < 32_000 {
		lastPort++
		if !lockPort(t, locks, lastPort) {
			continue
		}
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(lastPort))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		require.NoError(t, ln.Close())
		return addr
	}
	require.Fail(t, "no free port")
	return ""
}

// lockPort locks the file of a port. It reports false if another process holds the
// lock.
func lockPort(t testing.TB, dir string, port int) bool {
	t.Helper()
	f, err := os.OpenFile(filepath.Join(dir, strconv.Itoa(port)), os.O_CREATE|os.O_RDWR, 0o600)
	require.NoError(t, err)
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		require.ErrorIs(t, err, syscall.EWOULDBLOCK)
		require.NoError(t, f.Close())
		return false
	}
	portLocks = append(portLocks, f)
	return true
}

// portLocks are the locked files of the ports that this process has reserved.
var portLocks []*os.File

// Two processes that take ports at the same time get different ones, even if the
// first does not listen on its port at present.
func TestPortsAreReserved(t *testing.T) {
	addr := freeAddress(t)
	_, port, err := net.SplitHostPort(addr)
	require.NoError(t, err)
	n, err := strconv.Atoi(port)
	require.NoError(t, err)
	require.False(t, lockPort(t, filepath.Join(os.TempDir(), "primrosedrift-test-ports"), n), "another open file description stands for another process")
}

// entryProcess is an entry instance.
type entryProcess struct {
	*process
	name, caller, peer, operator, debug, settings string
}

// fleet is a deployment whose stand-ins and entry instances run as separate
// processes.
type fleet struct {
	t testing.TB
	// Addresses of the platform's stand-ins.
	log, instanceList, store string
	procs                    map[string]*process
	addresses                map[string]string // by stand-in
	entries                  []*entryProcess
	// timing holds lines of the table timing of the entry instances' settings.
	timing    string
	upstreams strings.Builder // registrations in the operators' file
}

func newFleet(t testing.TB, logArgs ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, procs: make(map[string]*process), addresses: make(map[string]string)}
	f.log = f.startStandin("log", append([]string{"log"}, logArgs...)...)
	f.instanceList = f.startStandin("list", "list")
	f.store = f.startStandin("store", "store", "--load-ms", "50", "--loads-per-second", "100")
	return f
}

// startStandin starts a stand-in and returns its address.
func (f *fleet) startStandin(name string, args ...string) string {
	f.t.Helper()
	addr := f.addresses[name]
	if addr == "" {
		addr = freeAddress(f.t)
		f.addresses[name] = addr
	}
	f.procs[name] = startProcess(f.t, name, "standin", append(args, "--listen", addr)...)
	f.waitForListener(addr)
	return addr
}

func (f *fleet) waitForListener(addr string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	}, conditionTimeout, 10*time.Millisecond, "%s", addr)
}

func (f *fleet) startEngine(name string, checksFencing bool, args ...string) {
	f.t.Helper()
	all := append([]string{"engine", "--store", "http://" + f.store}, args...)
	if checksFencing {
		all = append(all, "--checks-fencing")
	}
	addr := f.startStandin(name, all...)
	fmt.Fprintf(&f.upstreams, "[[upstreams]]\nname = %q\naddress = %q\ndata-centre = \"zaal-utr\"\nmemory = \"80GiB\"\nslots = 32\nchecks-fencing = %t\n", name, addr, checksFencing)
}

func (f *fleet) startService(name, service string, args ...string) {
	f.t.Helper()
	addr := f.startStandin(name, append([]string{"service"}, args...)...)
	fmt.Fprintf(&f.upstreams, "[[upstreams]]\nname = %q\naddress = %q\ndata-centre = \"zaal-utr\"\nservice = %q\nslots = 32\n", name, addr, service)
}

// startEntry starts an entry instance, or restarts the one with the name.
func (f *fleet) startEntry(name string) *entryProcess {
	f.t.Helper()
	var e *entryProcess
	for _, old := range f.entries {
		if old.name == name {
			e = old
		}
	}
	if e == nil {
		e = &entryProcess{name: name, caller: freeAddress(f.t), peer: freeAddress(f.t), operator: freeAddress(f.t), debug: freeAddress(f.t)}
		e.settings = filepath.Join(f.t.TempDir(), name+".toml")
		f.entries = append(f.entries, e)
		require.NoError(f.t, os.WriteFile(e.settings, fmt.Appendf(nil, `instance = %q
data-centre = "zaal-utr"
[listen]
caller = %q
peer = %q
operator = %q
debug = %q
[platform]
log = "http://%s"
instance-list = "http://%s"
[timing]
takeover-after = "1s"
%s`, name, e.caller, e.peer, e.operator, e.debug, f.log, f.instanceList, cmp.Or(f.timing, "locate-keep = \"500ms\"\n")), 0o600))
	}
	e.process = startProcess(f.t, name, "primrosedrift", "serve", e.settings)
	f.waitForListener(e.caller)
	f.announce(e, "live", "")
	return e
}

func (f *fleet) announce(e *entryProcess, state, incarnation string) {
	f.post("http://"+f.instanceList+"/instances", map[string]string{
		"name": e.name, "address": e.peer, "data-centre": "zaal-utr", "state": state, "role": "entry", "incarnation": incarnation,
	})
}

func (f *fleet) post(url string, body any) {
	f.t.Helper()
	data, err := json.Marshal(body)
	require.NoError(f.t, err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	require.NoError(f.t, err)
	defer resp.Body.Close()
	require.Less(f.t, resp.StatusCode, 300)
}

// setFaults sets the faults of a stand-in.
func (f *fleet) setFaults(name string, faults faulter.Faults) {
	f.t.Helper()
	f.post("http://"+f.addresses[name]+"/faults", faults)
}

// publish publishes an operators' file with the fleet's upstreams and waits
// until it is in force on every entry instance.
func (f *fleet) publish(rest string) {
	f.t.Helper()
	file, err := publisher.Parse("operators.toml", []byte(rest+f.upstreams.String()))
	require.NoError(f.t, err)
	var version uint64
	require.Eventually(f.t, func() bool {
		got, err := f.entries[0].operatorQueries().Get(context.Background(), connect.NewRequest(&operatorv1.GetRequest{}))
		if err != nil {
			return false
		}
		change := publisher.Diff(got.Msg.GetObjects(), file.Objects(), false)
		resp, err := operatorv1connect.NewOperatorCommandsClient(http.DefaultClient, "http://"+f.entries[0].operator).
			Publish(context.Background(), connect.NewRequest(&operatorv1.PublishRequest{
				BaseVersion: got.Msg.GetVersion(), Upserts: change.Upserts, Operator: "test",
			}))
		if err != nil {
			return false
		}
		version = resp.Msg.GetVersion()
		return resp.Msg.GetResult() == operatorv1.PublishResult_PUBLISH_RESULT_ACCEPTED
	}, conditionTimeout, 50*time.Millisecond)
	for _, e := range f.entries {
		require.Eventually(f.t, func() bool { return e.configVersion() >= version }, conditionTimeout, 10*time.Millisecond)
	}
}

func (e *entryProcess) operatorQueries() operatorv1connect.OperatorQueriesClient {
	return operatorv1connect.NewOperatorQueriesClient(http.DefaultClient, "http://"+e.operator)
}

func (e *entryProcess) configVersion() uint64 {
	got, err := e.operatorQueries().Get(context.Background(), connect.NewRequest(&operatorv1.GetRequest{}))
	if err != nil {
		return 0
	}
	return got.Msg.GetVersion()
}

// client returns a client of the customer with the addresses of all entry
// instances.
func (f *fleet) client(customer string) *caller.Client {
	c := &caller.Client{Customer: customer}
	for _, e := range f.entries {
		c.Entries = append(c.Entries, e.caller)
	}
	return c
}

// runCounts returns how often each key ran on a plain service.
func (f *fleet) runCounts(name string) map[string]int {
	f.t.Helper()
	resp, err := http.Get("http://" + f.addresses[name] + "/ran")
	require.NoError(f.t, err)
	defer resp.Body.Close()
	out := make(map[string]int)
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

func (e *entryProcess) replicas() ([]*operatorv1.ReplicaView, error) {
	got, err := e.operatorQueries().Get(context.Background(), connect.NewRequest(&operatorv1.GetRequest{}))
	if err != nil {
		return nil, err
	}
	return got.Msg.GetReplicas(), nil
}
