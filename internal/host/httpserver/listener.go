package httpserver

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxAcceptTime bounds how long a refusing listener still accepts connections.
const maxAcceptTime = time.Second

// deadlineListener is a listener whose Accept can be interrupted.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// listener tracks the connections that it accepts. After refuse it accepts those that
// are already established and then no others.
type listener struct {
	net.Listener
	// pool bounds the connections; nil for no bounds.
	pool *Pool
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// refusedAt is when refuse was called.
	refusedAt time.Time
	// ended is set once no further connection will be accepted.
	ended bool
	conns map[*conn]struct{}
}

func newListener(l net.Listener, pool *Pool) *listener {
	return &listener{Listener: l, pool: pool, closed: make(chan struct{}), conns: map[*conn]struct{}{}}
}

// refuse makes Accept return the connections that are already established and then close
// the underlying listener. Closing it at once would reset them.
func (l *listener) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedAt = time.Now()
	// Accept is interrupted here and sets a deadline of its own.
	if d, ok := l.Listener.(deadlineListener); !ok || d.SetDeadline(l.refusedAt) != nil {
		l.end()
	}
}

// end closes the underlying listener. l.mu must be held.
func (l *listener) end() {
	l.ended = true
	// The process ends soon, and callers can do nothing about the error.
	_ = l.Listener.Close()
}

// prepare must be called before each call of Accept of the underlying listener. It reports
// whether Accept is still to be called. It looks for connections right before it closes
// the listener, since those that are established between the two are reset.
func (l *listener) prepare() (open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusedAt.IsZero() {
		return true
	}
	d, ok := l.Listener.(deadlineListener)
	if l.ended || !ok || time.Since(l.refusedAt) > maxAcceptTime ||
		d.SetDeadline(time.Now().Add(maxAcceptTime)) != nil || !pending(l.Listener) {
		l.end()
		return false
	}
	return true
}

// Accept implements net.Listener. Once it accepts no more connections it blocks until
// Close, because the HTTP server must not see an error before it is shut down.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if !l.prepare() {
			<-l.closed
			return nil, net.ErrClosed
		}
		nc, err := l.Listener.Accept()
		if err == nil {
			c := &conn{Conn: nc, listener: l, pool: l.pool, accepted: time.Now()}
			if !c.pool.admit(c) {
				c.pool.reject(nc, Refused)
				// The client can do nothing about the error.
				_ = nc.Close()
				continue
			}
			l.mu.Lock()
			l.conns[c] = struct{}{}
			l.mu.Unlock()
			return c, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

// pending reports whether l has a connection that is established and not accepted.
func pending(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = rc.Control(func(fd uintptr) {
		// An error counts as no connection, since the listener is about to close.
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil
	}
	l.ended = true
	return l.Listener.Close()
}

// closeIdle makes the server close the connections without a request, unless a request is
// open on another connection and force is false. It reports whether the listener has
// ended and no connection is left.
func (l *listener) closeIdle(force bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !force && c.inUse() {
			return false
		}
	}
	for c := range l.conns {
		c.expire()
	}
	return l.ended && len(l.conns) == 0
}

// remove removes a connection.
func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection that knows whether a request is under way on it.
type conn struct {
	net.Conn
	listener *listener
	accepted time.Time
	pool     *Pool
	// usage belongs to pool.
	usage usage

	mu sync.Mutex
	// busy is set from the first byte of a request to the end of its response.
	busy bool
	// used is set once a byte has arrived.
	used bool
	// expired is set if the read deadline was set by expire.
	expired bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.setBusy(true)
		if err := c.pool.read(c, b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.pool != nil {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	err := c.Conn.Close()
	c.pool.remove(c)
	return err
}

// setBusy records whether a request is under way.
func (c *conn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.used = busy, true
	if busy && c.expired {
		c.expired = false
		// If it fails, so does the next Read.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// inUse reports whether a request is under way or is expected, as on a new connection.
func (c *conn) inUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy || !c.used && time.Since(c.accepted) < newConnectionWait
}

// expire makes the server close the connection unless a request is under way. It sets a
// deadline rather than close the connection, so that a Read that has got the first bytes
// of a request still returns them and the request is answered.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.expired = true
		// If it fails, the connection is closed already.
		_ = c.SetReadDeadline(time.Now())
	}
}
