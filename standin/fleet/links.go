package fleet

import (
	"net"
	"sync"
)

// Links are the connections from gateways and sidecars to the store and the
// servers. All pass through here, so that they can be reset or fall silent while
// both ends live.
type Links struct {
	mu     sync.Mutex
	silent bool
	heard  *sync.Cond
	open   map[net.Conn]net.Conn
}

func newLinks() *Links {
	l := &Links{open: map[net.Conn]net.Conn{}}
	l.heard = sync.NewCond(&l.mu)
	return l
}

// Reset breaks all connections.
func (l *Links) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, b := range l.open {
		for _, c := range []net.Conn{a, b} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	clear(l.open)
}

// Silence holds back all bytes of connections that are open, or lets them go.
// New connections stay silent too.
func (l *Links) Silence(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	l.heard.Broadcast()
}

// serve passes connections at one address on to another until it is closed.
func (l *Links) serve(from net.Listener, to string) {
	for {
		a, err := from.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", to)
		if err != nil {
			_ = a.Close()
			continue
		}
		l.mu.Lock()
		l.open[a] = b
		l.mu.Unlock()
		go l.pass(a, b, a)
		go l.pass(b, a, a)
	}
}

// pass copies one direction; key is the connection under which the pair is known.
func (l *Links) pass(to, from, key net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	// Both ends are done with it.
	_ = to.Close()
	_ = from.Close()
	l.mu.Lock()
	delete(l.open, key)
	l.mu.Unlock()
}

func (l *Links) wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.silent {
		l.heard.Wait()
	}
}
