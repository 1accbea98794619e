package httpserver

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// connectionBytes is the memory of a connection without a request: a goroutine, whose
	// stack has grown during the last one, and two buffers of 4 KiB. 1,000 connections added
	// 26 MB of resident memory, a third of which is the collector's.
	connectionBytes = 18 << 10
	// requestBytes is the memory of a request in addition: its objects, a larger stack and
	// the goroutine that watches for the end of the connection.
	requestBytes = 12 << 10
	// headerFactor is the memory per byte of a header: the line that is read, its copy, and
	// the copies in the URL.
	headerFactor = 4
	// lineBytes is the memory of a header line in the map, which has an entry and a slice
	// for each, and is copied when it grows.
	lineBytes = 256
	// closingShare is the part of the bound, as a divisor, that connections may still take
	// after they were closed.
	closingShare = 4
	// manyConnsShare is the part of the bound, as a divisor, beyond which new connections get
	// small kernel buffers.
	manyConnsShare = 16
	// spareShare is the part of the bound, as a divisor, that is freed in addition when the
	// bound is met, so that not every client needs a search.
	spareShare = 64
	// headerGrace is how long a connection without a complete header counts as well as one
	// whose body makes progress: a first packet that is lost is sent again after a second.
	headerGrace = 2 * time.Second
	// bodyRate is the rate, in bytes a second, at which a body has to arrive to count as
	// well as a new connection; twice that of a body of 262,144 bytes in 4 s.
	bodyRate = 128 << 10
)

// phase is the state of a connection between two requests.
type phase int

const (
	// idle connections have no request.
	idle phase = iota
	// header and body mean that a request is incomplete.
	header
	body
	// handling means that the request may take effect, or is being answered after its body was
	// read; such connections are not closed.
	handling
	// answered means that the handler has returned and the rest of the body is dropped.
	answered
)

// usage is what a pool knows of a connection. The pool's mutex guards it.
type usage struct {
	phase phase
	// since is when the phase began.
	since time.Time
	// charged is the memory that is charged to the connection, in bytes, and reserved the
	// part of it that the handler has reserved.
	charged, reserved int64
	// headerBytes and bodyBytes count what has arrived of the request.
	headerBytes int
	bodyBytes   int64
	// closed is set once the pool has closed the connection. Its memory stays charged until
	// the server's goroutine ends.
	closed bool
}

// rank returns a time that is longer the less progress the connection has made for the longer.
func (u *usage) rank(now time.Time) time.Duration {
	age := now.Sub(u.since)
	if u.phase == body || u.phase == answered {
		return age - time.Duration(u.bodyBytes)*time.Second/bodyRate
	}
	return age - headerGrace
}

// Pool is a part of a budget. A nil pool has no bounds.
type Pool struct {
	// Refusal returns the JSON body of the response to a request that is refused for a reason;
	// nil for no body. It must be set before the server starts.
	Refusal func(Reason) []byte

	name               string
	maxBytes, maxConns int64
	limits             limitsPointer

	mu sync.Mutex
	// freed is signalled when used falls or a connection is closed.
	freed sync.Cond
	conns map[*conn]struct{}
	// used is the sum of charged of conns, and closing the part of the closed ones.
	used, closing int64
	closingConns  int64
	// handlingBytes is the part of used of the connections that are handled, and handlingConns
	// their number.
	handlingBytes, handlingConns int64
	// closed counts closed and refused connections since the last report.
	closed map[Reason]int64
}

func newPool(name string, maxBytes, maxConns int64) *Pool {
	p := &Pool{name: name, maxBytes: maxBytes, maxConns: maxConns, conns: map[*conn]struct{}{}, closed: map[Reason]int64{}}
	p.freed.L = &p.mu
	return p
}

// backlog returns how many connections may wait to be accepted.
func (p *Pool) backlog() int { return int(max(minBacklog, p.maxBytes/backlogBytes)) }

// hasManyConns reports whether there are so many connections that their kernel buffers count.
func (p *Pool) hasManyConns() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(len(p.conns)) > min(p.maxConns, p.maxBytes/connectionBytes)/manyConnsShare
}

// admit adds a new connection and reports whether there is room for it.
func (p *Pool) admit(c *conn) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.usage.since = time.Now()
	for int64(len(p.conns))-p.closingConns >= p.maxConns {
		if !p.evict(nil, 0) {
			p.closed[Refused]++
			return false
		}
	}
	if !p.take(c, connectionBytes) {
		p.closed[Refused]++
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// remove removes a connection whose goroutine ends.
func (p *Pool) remove(c *conn) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.conns[c]; !ok {
		return
	}
	p.free(c, c.usage.charged)
	p.enter(&c.usage, idle)
	delete(p.conns, c)
	if c.usage.closed {
		p.closingConns--
	}
}

// take charges n bytes to c. If that exceeds the bound, it closes connections with less
// progress than c. It reports false if there are none or if c itself was closed. p.mu must be held.
func (p *Pool) take(c *conn, n int64) bool {
	for !c.usage.closed {
		excess := p.used - p.closing + n - p.maxBytes
		switch {
		case excess > 0:
			if !p.evict(c, excess) {
				return false
			}
		case p.closing > 0 && p.used+n > p.maxBytes+p.maxBytes/closingShare:
			p.freed.Wait()
		default:
			p.used += n
			c.usage.charged += n
			if c.usage.phase == handling {
				p.handlingBytes += n
			}
			return true
		}
	}
	return false
}

// free takes back n bytes that are charged to c. p.mu must be held.
func (p *Pool) free(c *conn, n int64) {
	c.usage.charged -= n
	p.used -= n
	if c.usage.closed {
		p.closing -= n
	}
	if c.usage.phase == handling {
		p.handlingBytes -= n
	}
	p.freed.Broadcast()
}

// enter records that a connection enters a phase. p.mu must be held.
func (p *Pool) enter(u *usage, to phase) {
	if u.phase == handling {
		p.handlingBytes -= u.charged
		p.handlingConns--
	}
	if to == handling {
		p.handlingBytes += u.charged
		p.handlingConns++
	}
	u.phase, u.since = to, time.Now()
}

// crowded reports whether the requests that are handled take more than half of the pool.
func (p *Pool) crowded() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handlingConns > p.maxConns/2 || p.handlingBytes > p.maxBytes/2
}

// evict closes the connections that have made the least progress for the longest, up to c,
// until at least one is closed and excess bytes are freed, and some more. It reports whether
// it has closed any. p.mu must be held.
func (p *Pool) evict(c *conn, excess int64) bool {
	type candidate struct {
		*conn
		rank time.Duration
	}
	var list []candidate
	now := time.Now()
	for x := range p.conns {
		if u := &x.usage; !u.closed && u.phase != handling {
			list = append(list, candidate{x, u.rank(now)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	var freed, closed int64
	for _, x := range list {
		if x.conn == c || closed > p.maxConns/spareShare || closed > 0 && freed >= excess+p.maxBytes/spareShare {
			break
		}
		freed += x.usage.charged
		closed++
		p.close(x.conn, Evicted)
	}
	return closed > 0
}

// close closes a connection for a reason. It answers a request that is incomplete, and
// therefore has no effect. p.mu must be held.
func (p *Pool) close(c *conn, why Reason) {
	u := &c.usage
	u.closed = true
	p.closing += u.charged
	p.closingConns++
	p.closed[why]++
	if u.phase == header || u.phase == body {
		p.reject(c.Conn, why)
	} else if unsent(c.Conn) > 0 {
		resetOnClose(c.Conn)
	}
	// The goroutine of the connection sees the error.
	_ = c.Conn.Close()
	p.freed.Broadcast()
}

// reject answers a request that is not going to be executed.
func (p *Pool) reject(c net.Conn, why Reason) {
	status, more := http.StatusServiceUnavailable, "Retry-After: 1\r\n"
	switch why {
	case HeaderTooLarge:
		status, more = http.StatusRequestHeaderFieldsTooLarge, ""
	case HeaderTimedOut, BodyTimedOut:
		status, more = http.StatusRequestTimeout, ""
	}
	var text []byte
	if p.Refusal != nil {
		text, more = p.Refusal(why), more+"Content-Type: application/json\r\n"
	}
	if !sendNow(c, fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", statusLine(status), more, len(text), text)) {
		// The client has not read earlier responses.
		resetOnClose(c)
	}
}

// read accounts for the bytes that have arrived on c. An error means that c is closed.
func (p *Pool) read(c *conn, b []byte) error {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &c.usage
	ok := !u.closed
	if ok && u.phase == idle {
		p.enter(u, header)
		u.headerBytes, u.bodyBytes = 0, 0
		ok = p.take(c, requestBytes)
	}
	switch u.phase {
	case header:
		u.headerBytes += len(b)
		if ok && u.headerBytes > p.limits.get().HeaderBytes {
			p.close(c, HeaderTooLarge)
		}
		ok = ok && p.take(c, headerFactor*int64(len(b))+lineBytes*int64(bytes.Count(b, []byte{'\n'})))
	case body, answered:
		u.bodyBytes += int64(len(b))
	}
	if ok {
		return nil
	}
	if !u.closed {
		p.close(c, Refused)
	}
	return &net.OpError{Op: "read", Err: net.ErrClosed}
}

// setPhase records the phase of c and reports whether c is still open.
func (p *Pool) setPhase(c *conn, to phase) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &c.usage
	p.enter(u, to)
	if to == idle {
		p.free(c, u.charged-connectionBytes)
		u.reserved = 0
	}
	return !u.closed
}

// handled frees the reservations of a handler that returns. complete is set if it has read the
// request's body.
func (p *Pool) handled(c *conn, complete bool) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := &c.usage
	p.free(c, u.reserved)
	u.reserved = 0
	if !complete {
		p.enter(u, answered)
	}
}

// reserve charges n bytes to the request on c, or frees them if n is negative.
func (p *Pool) reserve(c *conn, n int64) bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n <= 0 {
		p.free(c, -n)
	} else if !p.take(c, n) {
		if !c.usage.closed {
			p.closed[Refused]++
		}
		return false
	}
	c.usage.reserved += n
	return true
}

// closeIncomplete refuses the requests that are incomplete.
func (p *Pool) closeIncomplete() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if u := &c.usage; !u.closed && (u.phase == header || u.phase == body || u.phase == answered) {
			p.close(c, Stopped)
		}
	}
}

// closeTimedOut closes the connections whose time is up.
func (p *Pool) closeTimedOut(now time.Time) {
	l := p.limits.get()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		u := &c.usage
		age := now.Sub(u.since)
		switch {
		case u.closed:
		case u.phase == idle && age > l.IdleTimeout:
			p.close(c, IdleTimedOut)
		case u.phase == header && age > l.HeaderTimeout:
			p.close(c, HeaderTimedOut)
		case (u.phase == body || u.phase == answered) && age > l.BodyTimeout:
			p.close(c, BodyTimedOut)
		}
	}
}

// takeClosed returns the numbers of closed connections since the last call.
func (p *Pool) takeClosed() map[Reason]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := maps.Clone(p.closed)
	clear(p.closed)
	return m
}
