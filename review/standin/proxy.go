package main

import (
	"net"
	"sync"
)

// proxy forwards connections to an address. All connections that are open can be made to go silent
// for good, without a reset, while new ones work.
type proxy struct {
	addr, to string
	mu       sync.Mutex
	epoch    int
}

// newProxy starts a proxy on an address of the site's network.
func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), to: to}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// silence makes the open connections go silent.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
}

func (p *proxy) current() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

func (p *proxy) serve(in net.Conn) {
	epoch := p.current()
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = in.Close()
		return
	}
	go p.forward(in, out, epoch)
	p.forward(out, in, epoch)
}

// forward passes bytes on. Of a silent connection it swallows them, and passes on no end either.
func (p *proxy) forward(from, to net.Conn, epoch int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		silent := p.current() != epoch
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}
