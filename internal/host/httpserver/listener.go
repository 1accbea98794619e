package httpserver

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
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
	// small is set while new connections get a small buffer for receiving.
	small bool
}

func newListener(l net.Listener, pool *Pool) *listener {
	boundKernelMemory(l, pool)
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
			l.add(c)
			return c, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
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
// open on another connection and force is false. With force it also gives up responses that
// clients do not read. It reports whether the listener has ended and no connection is left.
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
		if force {
			c.cutWrite()
		}
	}
	return l.ended && len(l.conns) == 0
}

// add adds an accepted connection. Later ones get the buffer for receiving that fits the number
// of connections: they advertise it while they are established and never less afterwards.
func (l *listener) add(c *conn) {
	small := c.pool.hasManyConns()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	if small {
		setReceiveBuffer(c.Conn, smallReceiveBufferBytes)
	}
	if small != l.small {
		l.small = small
		setReceiveBuffer(l.Listener, map[bool]int{false: receiveBufferBytes, true: smallReceiveBufferBytes}[small])
	}
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
	// writing is set during a write, and cut once no further one is allowed.
	writing, cut bool
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

// Write implements net.Conn. Each part that fills the kernel's buffer has writeTimeout, so that
// the time for a large response follows from its size.
func (c *conn) Write(b []byte) (n int, err error) {
	if c.pool == nil {
		return c.Conn.Write(b)
	}
	for err == nil && n < len(b) {
		var k int
		k, err = c.writePart(b[n:min(len(b), n+sendBufferBytes)])
		n += k
	}
	return n, err
}

// writePart writes b before writeTimeout. If it fails, the connection is reset when it is closed,
// since the kernel would keep what the client does not read.
func (c *conn) writePart(b []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if err != nil {
		resetOnClose(c.Conn)
	}
	return n, err
}

func (c *conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return net.ErrClosed
	}
	c.writing = true
	return c.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// cutWrite makes a write that waits for the client fail, and all later ones.
func (c *conn) cutWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		c.cut = true
		// If it fails, the connection is closed already.
		_ = c.SetWriteDeadline(time.Now())
	}
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
