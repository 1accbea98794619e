package trial

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// proxy forwards TCP connections to a process. Like a network device that loses
// track of connections, it can silence the open ones without closing them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*proxyConn
	// opened counts the connections accepted so far.
	opened int
}

// proxyConn is one forwarded connection. Its silent channel is closed when the
// connection must forward no more data.
type proxyConn struct {
	silent chan struct{}
	once   sync.Once
}

// newProxy returns a proxy that forwards to target until the test ends.
func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go p.accept()
	return p
}

// address returns the address on which the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// blackhole silences every open connection for good and returns their number. New
// connections work.
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

// forward copies one direction until the connection ends. Once the connection is
// silenced, it discards what it reads and does not close the other end.
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
