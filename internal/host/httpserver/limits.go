package httpserver

import (
	"cmp"
	"time"
)

// Limits bounds what one client may do. A field that is 0 has its default.
type Limits struct {
	// HeaderBytes bounds the size of a request's header.
	HeaderBytes int
	// HeaderTimeout and BodyTimeout bound the time from the first byte of a header, or from
	// its end, until the header, or the body, is complete.
	HeaderTimeout, BodyTimeout time.Duration
	// IdleTimeout bounds the time without a request on a connection.
	IdleTimeout time.Duration
}

const (
	// defaultHeaderBytes is four times the largest header_bytes of known configurations.
	defaultHeaderBytes = 64 << 10
	// defaultHeaderTimeout is about three times the largest known header_timeout_ms.
	defaultHeaderTimeout = 10 * time.Second
	// defaultBodyTimeout is ten times the 3 s for which callers wait for an answer.
	defaultBodyTimeout = 30 * time.Second
	// defaultIdleTimeout is eight times the largest known idle_timeout_ms.
	defaultIdleTimeout = 2 * time.Minute
	// timeoutMargin is added to the timeouts, since a lost packet is retransmitted only
	// after a second.
	timeoutMargin = time.Second
	// writeTimeout bounds the time in which a client reads as much as fills the kernel's
	// buffer. Most answers fit into it, so that only clients that do not read reach it.
	writeTimeout = 10 * time.Second
	// readBufferBytes is the size of net/http's read buffer: as much as can be read beyond
	// the end of a header.
	readBufferBytes = 4 << 10
)

// withDefaults returns l with the defaults of the fields that are 0, and with the margins.
func (l Limits) withDefaults() Limits {
	return Limits{
		HeaderBytes:   cmp.Or(l.HeaderBytes, defaultHeaderBytes) + readBufferBytes,
		HeaderTimeout: cmp.Or(l.HeaderTimeout, defaultHeaderTimeout) + timeoutMargin,
		BodyTimeout:   cmp.Or(l.BodyTimeout, defaultBodyTimeout) + timeoutMargin,
		IdleTimeout:   cmp.Or(l.IdleTimeout, defaultIdleTimeout) + timeoutMargin,
	}
}
