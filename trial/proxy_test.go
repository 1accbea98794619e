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
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*proxyConn
	// opened counts the connections so far.
	opened int
}

// lossy is one forwarded connection.
type proxyConn struct {
	silent chan struct{}
	once   sync.Once
}

// newLink returns a link to an address.
func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go p.accept()
	return p
}

// address returns where the link listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// silence makes every open connection silent for good. New ones work.
func (p *proxy) blackhole() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.conns)
	for _, c := range p.conns {
		c.once.Do(func() { close(c.silent) })
	}
	p.conns = nil
	return n
}

// accept forwards connections until the listener is closed.
func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &proxyConn{silent: make(chan struct{})}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.opened++
		p.mu.Unlock()
		go c.forward(in, out)
		go c.forward(out, in)
	}
}

// copy forwards one direction until the connection ends. Once it is silent it
// swallows what it reads and neither answers nor closes.
func (c *proxyConn) forward(to, from net.Conn) {
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
