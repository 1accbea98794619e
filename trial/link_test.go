package trial

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// link forwards connections to a process and can lose track of the open ones,
// as a device between two ends would.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns []*lossy
	// opened counts the connections so far.
	opened int
}

// lossy is one forwarded connection.
type lossy struct {
	silent chan struct{}
	once   sync.Once
}

// newLink returns a link to an address.
func newLink(t *testing.T, to string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &link{listener: l, to: to}
	t.Cleanup(func() { _ = l.Close() })
	go k.accept()
	return k
}

// address returns where the link listens.
func (k *link) address() string { return k.listener.Addr().String() }

// silence makes every open connection silent for good. New ones work.
func (k *link) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := len(k.conns)
	for _, c := range k.conns {
		c.once.Do(func() { close(c.silent) })
	}
	k.conns = nil
	return n
}

// accept forwards connections until the listener is closed.
func (k *link) accept() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", k.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &lossy{silent: make(chan struct{})}
		k.mu.Lock()
		k.conns = append(k.conns, c)
		k.opened++
		k.mu.Unlock()
		go c.copy(in, out)
		go c.copy(out, in)
	}
}

// copy forwards one direction until the connection ends. Once it is silent it
// swallows what it reads and neither answers nor closes.
func (c *lossy) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-c.silent:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
