package soak

import (
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	pass mode = iota
	// delay holds each piece back for a while.
	delay
	// reset breaks connections and refuses new ones.
	reset
	// silent takes everything and passes nothing on.
	silent
	// oneWay passes requests on and no answers.
	oneWay
	modes
)

// delayed is how long a piece is held back.
const delayed = 150 * time.Millisecond

// proxy passes connections on to an address, and misbehaves on demand.
type proxy struct {
	to string
	l  net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, l: l, conns: make(map[net.Conn]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.l.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == reset {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

func (p *proxy) get() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		if p.get() == reset {
			_ = c.Close()
			continue
		}
		up, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.track(c, true)
		p.track(up, true)
		p.wg.Go(func() { p.copy(up, c, false) })
		p.wg.Go(func() { p.copy(c, up, true) })
	}
}

// copy passes one direction on; answers tells which one.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer p.track(to, false)
	defer p.track(from, false)
	b := make([]byte, 32<<10)
	broken := false
	for {
		n, err := from.Read(b)
		if n > 0 {
			switch m := p.get(); {
			case m == delay:
				time.Sleep(delayed)
			case m == silent, m == oneWay && answers:
				// A piece that is lost leaves the connection silent for good.
				broken = true
			}
			if !broken {
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
