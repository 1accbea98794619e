package httpserver

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/fault"
)

// fakeConn is a connection that records what is written to it, and whether it is closed.
type fakeConn struct {
	net.Conn
	written string
	closed  bool
	// deadlines counts the deadlines of writes.
	deadlines int
}

// Write implements net.Conn.
func (f *fakeConn) Write(b []byte) (int, error) {
	f.written += string(b)
	return len(b), nil
}

// Close implements net.Conn.
func (f *fakeConn) Close() error {
	f.closed = true
	return nil
}

// SetWriteDeadline implements net.Conn.
func (f *fakeConn) SetWriteDeadline(time.Time) error {
	f.deadlines++
	return nil
}

// Guards against cutting a large response to a client that reads slowly.
func TestPartsOfResponsesHaveTheirOwnTime(t *testing.T) {
	c, f := admitted(t, newPool("p", 1<<20, 1), handling, 0)
	n, err := c.Write(make([]byte, 10*sendBufferBytes+1))
	require.NoError(t, err)
	assert.Equal(t, []int{10*sendBufferBytes + 1, 11}, []int{n, f.deadlines})
}

// admitted returns a connection that has been in a phase for age.
func admitted(t *testing.T, p *Pool, in phase, age time.Duration) (*conn, *fakeConn) {
	f := &fakeConn{}
	c := &conn{Conn: f, pool: p, listener: &listener{conns: map[*conn]struct{}{}}}
	require.True(t, p.admit(c))
	c.usage.phase, c.usage.since = in, time.Now().Add(-age)
	return c, f
}

// Guards against closing connections that make progress, or whose request may take effect,
// before others, and against answering where no request is incomplete.
func TestLeastProgressIsEvictedFirst(t *testing.T) {
	p := newPool("p", 1<<20, 4)
	_, handled := admitted(t, p, handling, time.Hour)
	fast, fastConn := admitted(t, p, body, 3*time.Second)
	fast.usage.bodyBytes = 262_144
	_, slowConn := admitted(t, p, body, 3*time.Second)
	_, idleConn := admitted(t, p, idle, 10*time.Second)
	for i, f := range []*fakeConn{idleConn, slowConn, fastConn} {
		admitted(t, p, handling, 0)
		assert.True(t, f.closed, i)
	}
	assert.Empty(t, idleConn.written)
	assert.Contains(t, slowConn.written, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n")
	assert.False(t, p.admit(&conn{Conn: &fakeConn{}, pool: p}), "all requests may take effect")
	assert.False(t, handled.closed)
	assert.Equal(t, map[Reason]int64{Evicted: 3, Refused: 1}, p.takeClosed())
}

// Guards against executing a request that was refused while the end of its body was in a buffer.
func TestRefusedBodyHasNoEnd(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) { testRefusedBody(t, method) })
	}
}

func testRefusedBody(t *testing.T, method string) {
	p := newPool("p", 1<<20, 1)
	c, _ := admitted(t, p, idle, 0)
	r := httptest.NewRequest(method, "/", io.MultiReader(strings.NewReader("{"), strings.NewReader("}")))
	account(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := r.Body.Read(make([]byte, 1))
		assert.NoError(t, err)
		admitted(t, p, idle, 0)
		_, err = io.ReadAll(r.Body)
		assert.ErrorIs(t, err, net.ErrClosed)
	})).ServeHTTP(nil, r.WithContext(withConn(r.Context(), c)))
	account(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("a request on a closed connection is handled")
	})).ServeHTTP(nil, r.WithContext(withConn(r.Context(), c)))
}

// Guards against memory beyond the bound: reservations without room, and connections that
// are closed while their goroutines still hold memory.
func TestBytesAreBounded(t *testing.T) {
	p := newPool("p", 100_000, 10)
	c, _ := admitted(t, p, handling, 0)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	ctx := withConn(r.Context(), c)
	account(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		assert.NoError(t, Reserve(ctx, 80_000))
		assert.Equal(t, fault.Overloaded, fault.KindOf(Reserve(ctx, 80_000)))
		assert.Equal(t, fault.TooLarge, fault.KindOf(Reserve(ctx, 90_000)))
	})).ServeHTTP(nil, r.WithContext(ctx))
	assert.EqualValues(t, connectionBytes, p.used, "reservations end with the handler")
	require.NoError(t, c.Close())

	old, _ := admitted(t, p, body, time.Minute)
	require.NoError(t, Reserve(withConn(r.Context(), old), 80_000))
	c, _ = admitted(t, p, handling, 0)
	done := make(chan bool)
	go func() { done <- p.reserve(c, 80_000) }()
	select {
	case <-done:
		t.Error("the memory of a connection that is still closing is used twice")
	case <-time.After(50 * time.Millisecond):
	}
	require.NoError(t, old.Close())
	assert.True(t, <-done)
	assert.EqualValues(t, connectionBytes+80_000, p.used)
}

// Guards against headers over the limit and against connections that stay open for good.
func TestLimits(t *testing.T) {
	b := NewBudget(1<<30, 0)
	b.Limits = func() Limits { return Limits{HeaderBytes: 10_000, HeaderTimeout: 3 * time.Second} }
	p := b.NewPool("p", 1)
	b.sweep(time.Now())
	long, longConn := admitted(t, p, idle, 0)
	require.NoError(t, p.read(long, make([]byte, 10_000)))
	require.Error(t, p.read(long, make([]byte, readBufferBytes+1)))
	assert.Contains(t, longConn.written, "HTTP/1.1 431 ")
	for in, want := range map[phase]time.Duration{idle: defaultIdleTimeout, header: 3 * time.Second, body: defaultBodyTimeout, handling: 0} {
		_, f := admitted(t, p, in, want+timeoutMargin/2)
		b.sweep(time.Now())
		assert.False(t, f.closed, in)
		b.sweep(time.Now().Add(timeoutMargin))
		assert.Equal(t, want > 0, f.closed, in)
	}
}

// Guards against bounds that leave no descriptors for the store and the workers, or no room
// for a caller on a small host.
func TestNewBudget(t *testing.T) {
	for _, c := range []struct{ memoryMB, descriptors, bytesMB, conns int64 }{
		{144, 10_250, 38, 8294}, {284, 10_250, 122, 8294}, {64, 700, 16, 250}, {256, 100, 105, 0}, {256, 0, 105, 1<<31 - 1},
	} {
		b := NewBudget(c.memoryMB<<20, c.descriptors)
		assert.Equal(t, []int64{c.bytesMB, c.conns}, []int64{b.bytes >> 20, b.conns})
		assert.Positive(t, b.NewPool("p", 1.0/16).maxConns)
	}
}
