package soak

import (
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats its connections.
type mode int

const (
	passThrough mode = iota
	// delayChunks delays each chunk by chunkDelay.
	delayChunks
	// resetConns closes all connections and rejects new ones.
	resetConns
	// dropAll accepts connections and discards the data of both directions.
	dropAll
	// dropResponses forwards requests and discards responses.
	dropResponses
	modeCount
)

// chunkDelay is the delay of each chunk in mode delayChunks.
const chunkDelay = 150 * time.Millisecond

// proxy forwards TCP connections to target and injects network faults according to
// its mode.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == resetConns {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == resetConns {
			_ = c.Close()
			continue
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.track(c, true)
		p.track(upstream, true)
		p.wg.Go(func() { p.forward(upstream, c, false) })
		p.wg.Go(func() { p.forward(c, upstream, true) })
	}
}

// forward copies one direction of a connection; response is set for data from the
// target.
func (p *proxy) forward(to, from net.Conn, response bool) {
	defer p.track(to, false)
	defer p.track(from, false)
	b := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(b)
		if n > 0 {
			switch m := p.currentMode(); {
			case m == delayChunks:
				time.Sleep(chunkDelay)
			case m == dropAll, m == dropResponses && response:
				// A direction that has lost a chunk stays silent, even after the mode
				// changes.
				dropping = true
			}
			if !dropping {
				if _, err := to.Write(b[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
