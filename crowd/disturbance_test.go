package crowd

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// smallMemoryMB and smallDescriptors are those of the smallest host of a known deployment.
const smallMemoryMB, smallDescriptors = 144, 3075

// mixture sends one of several kinds of requests that exceed the limits.
func mixture(c net.Conn, i int) {
	text := largestBody()
	switch i % 6 {
	case 0:
		_ = write(c, requestLine) && repeat(c, headerLine, endless)
	case 1:
		sendBody(c, 1, length(len(text)), text[:len(text)-1], "}")
	case 2:
		sendBody(c, 0, length(len(text)), text[:1], text[1:])
	case 3:
		sendBody(c, 1, "Transfer-Encoding: chunked\r\n", chunk(text), "0\r\n\r\n")
	case 4:
		sendUnread(c, requestLine+length(len(jobBody))+"\r\n"+jobBody)
	}
}

// leads reports whether the host is the coordinator.
func (h *host) leads() bool {
	res, err := (&http.Client{Timeout: time.Second}).Get("http://" + h.metrics + "/")
	if err != nil {
		return false
	}
	text, err := io.ReadAll(res.Body)
	return res.Body.Close() == nil && err == nil && bytes.Contains(text, []byte(`"leading":{"value":1}`))
}

// Guards against crowds at all addresses of several hosts at once, while one of them shuts down,
// the coordinator is killed or the store is lost.
func TestDisturbances(t *testing.T) {
	for name, disturb := range map[string]func(d *deployment, hosts []*host) []*host{
		"none": func(_ *deployment, hosts []*host) []*host { return hosts },
		"shutdown": func(d *deployment, hosts []*host) []*host {
			require.NoError(d.t, hosts[0].cmd.Process.Signal(syscall.SIGTERM))
			require.Eventually(d.t, func() bool { return len(hosts[0].exited) > 0 }, patience, 50*time.Millisecond, "the process does not end")
			err := <-hosts[0].exited
			hosts[0].exited <- err
			require.NoError(d.t, err)
			hosts[0].checkBounds()
			return hosts[1:]
		},
		"takeover": func(d *deployment, hosts []*host) []*host {
			require.NoError(d.t, hosts[0].cmd.Process.Kill())
			return hosts[1:]
		},
		"lostStore": func(d *deployment, hosts []*host) []*host {
			d.store.SetDown(true)
			time.Sleep(5 * time.Second)
			d.store.SetDown(false)
			return hosts
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			hosts := []*host{d.start(1, smallMemoryMB, smallDescriptors), d.start(2, smallMemoryMB, smallDescriptors), d.start(3, smallMemoryMB, smallDescriptors)}
			// The first of the list is the coordinator.
			var i int
			require.Eventually(t, func() bool { i = slices.IndexFunc(hosts, (*host).leads); return i >= 0 }, 20*time.Second, 100*time.Millisecond, "no host is the coordinator")
			hosts[0], hosts[i] = hosts[i], hosts[0]
			hosts[0].addJobs(jobBody, 10, jobID)
			address := func(i int) string {
				h := hosts[i%3]
				return []string{h.callers, h.callers, h.callers, h.callers, h.ready, h.metrics}[i/3%6]
			}
			gathered := make(chan func(), 1)
			go func() { gathered <- gather(1500, address, mixture) }()
			time.Sleep(settle)
			left := disturb(d, hosts)
			defer (<-gathered)()
			for _, h := range left {
				h.check()
				require.Eventually(t, func() bool { _, done := d.workers.Starts(h.ordinaryID()); return done }, 20*time.Second, 100*time.Millisecond, "an ordinary job does not run")
			}
		})
	}
}
