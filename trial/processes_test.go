package trial

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
)

// binaries is the directory of the programs that TestMain builds.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the programs and runs the tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "limpetrelay")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// process is a program started by cluster.start.
type process struct {
	name        string
	cmd         *exec.Cmd
	address     string
	peerAddress string
	// exited holds the result of the process once it has exited. Whoever receives it
	// must send it again for later readers.
	exited chan error
}

// cluster consists of a platform, workers and entry hosts, each a separate process.
type cluster struct {
	t        *testing.T
	platform *process
	workers  map[string]*process
	hosts    map[string]*process
}

// newCluster starts a cluster that has only a platform, and waits until the platform
// responds.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, workers: map[string]*process{}, hosts: map[string]*process{}}
	a := freeAddress(t)
	c.platform = c.start("platform", a, "standin", "platform", "--listen", a)
	c.eventually("the platform responds", func() bool {
		_, err := http.Get("http://" + a + "/")
		return err == nil
	})
	return c
}

// addWorker starts a worker and registers it with the platform.
func (c *cluster) addWorker(name, dc, rack string) {
	c.t.Helper()
	a := freeAddress(c.t)
	c.workers[name] = c.start(name, a, "standin", "worker", "--listen", a, "--name", name, "--data-centre", dc, "--rack", rack)
	c.register(logservice.Host{Name: name, Kind: logservice.KindWorker, DataCentre: dc, Address: a})
}

// addHost starts an entry host of gulf-a, registers it with the platform and waits
// until it is ready.
func (c *cluster) addHost(name string) {
	c.t.Helper()
	a, p := freeAddress(c.t), freeAddress(c.t)
	file := filepath.Join(c.t.TempDir(), name+".toml")
	text := fmt.Sprintf("host = %q\ndataCentre = %q\nregion = \"gulf-south\"\nlisten = %q\npeerListen = %q\nplatform = %q\n",
		name, "gulf-a", a, p, "http://"+c.platform.address)
	require.NoError(c.t, os.WriteFile(file, []byte(text), 0o600))
	h := c.start(name, a, "limpetrelay", "serve", "--settings", file)
	h.peerAddress = p
	c.hosts[name] = h
	c.register(logservice.Host{Name: name, Kind: logservice.KindEntry, DataCentre: "gulf-a", Address: p})
	c.eventually(name+" is ready", func() bool { return c.status(name, "/readyz") == http.StatusOK })
}

// start starts a program that is killed at the end of the test.
func (c *cluster) start(name, address, program string, args ...string) *process {
	c.t.Helper()
	p := &process{name: name, address: address, exited: make(chan error, 1)}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stderr = logFile(c.t, name)
	require.NoError(c.t, p.cmd.Start())
	go func() { p.exited <- p.cmd.Wait() }()
	c.t.Cleanup(func() { p.kill() })
	return p
}

// kill kills a process and waits for it to exit.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	err := <-p.exited
	p.exited <- err
}

// register adds a host to the platform's host list.
func (c *cluster) register(h logservice.Host) {
	c.t.Helper()
	b, err := json.Marshal(h)
	require.NoError(c.t, err)
	r, err := http.Post("http://"+c.platform.address+"/hosts", "application/json", bytes.NewReader(b))
	require.NoError(c.t, err)
	require.NoError(c.t, r.Body.Close())
}

// status returns the HTTP status of a GET request to a host, or 0 when there is no
// response.
func (c *cluster) status(host, path string) int {
	r, err := http.Get("http://" + c.hosts[host].address + path)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// response is the part of an HTTP response that the tests use. The untagged field
// names are the keys of the body.
type response struct {
	Status  int
	Job     string
	State   string
	Version uint64
	Output  []byte
	Outcome json.RawMessage
	Error   struct{ Kind, Message, Remedy string }
}

// result returns the result of the job's outcome, or an empty string when there is
// no outcome.
func (a *response) result() string {
	var o struct{ Result string }
	_ = json.Unmarshal(a.Outcome, &o)
	return o.Result
}

// call sends a request with a JSON body to a host, without retries.
func (c *cluster) call(host, method, path, body string) response {
	c.t.Helper()
	req, err := http.NewRequest(method, "http://"+c.hosts[host].address+path, bytes.NewBufferString(body))
	require.NoError(c.t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(c.t, err)
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	require.NoError(c.t, err)
	a := response{Status: res.StatusCode}
	require.NoError(c.t, json.Unmarshal(b, &a), "%s", b)
	return a
}

// eventually fails the test unless ok returns true within 15 seconds.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	require.Eventually(c.t, ok, 15*time.Second, 20*time.Millisecond, what)
}

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses = map[string]bool{}

// freeAddress returns a loopback address whose port was free a moment ago. It never
// returns the same address twice.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		a := l.Addr().String()
		require.NoError(t, l.Close())
		if !usedAddresses[a] {
			usedAddresses[a] = true
			return a
		}
	}
}

// logFile returns the file for the log of a process in the directory in
// LIMPETRELAY_TRIAL_LOGS, or nil to discard the log when that is not set.
func logFile(t *testing.T, name string) io.Writer {
	t.Helper()
	if dir := os.Getenv("LIMPETRELAY_TRIAL_LOGS"); dir != "" {
		f, err := os.Create(filepath.Join(dir, name+".log"))
		require.NoError(t, err)
		return f
	}
	return nil
}
