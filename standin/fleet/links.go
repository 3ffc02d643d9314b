package fleet

import (
	"net"
	"sync"
	"time"
)

// Direction is one way of a connection.
type Direction int

// The directions of a connection from a gateway or sidecar.
const (
	ToServer Direction = iota // to the store or the server
	ToClient
	directions
)

// Links are the connections from gateways and sidecars to the store and the
// servers. All pass through here, so that they can be delayed, reset, cut in one
// direction or fall silent while both ends live.
type Links struct {
	mu     sync.Mutex
	silent [directions]bool
	delay  [directions]time.Duration
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

// Blackhole holds back all bytes of connections that are open, or lets them go.
// New connections stay silent too.
func (l *Links) Blackhole(silent bool) {
	for d := range directions {
		l.Block(d, silent)
	}
}

// Block holds back all bytes in one direction, or lets them go.
func (l *Links) Block(d Direction, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[d] = cut
	l.heard.Broadcast()
}

// Delay has all bytes in one direction come later by some time.
func (l *Links) Delay(d Direction, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay[d] = by
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
		go l.pass(a, b, a, ToClient)
		go l.pass(b, a, a, ToServer)
	}
}

// pass copies one direction; key is the connection under which the pair is known.
func (l *Links) pass(to, from, key net.Conn, d Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.wait(d)
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

// wait holds bytes back for as long as their direction is delayed or cut.
func (l *Links) wait(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if by := l.delay[d]; by > 0 {
		l.mu.Unlock()
		time.Sleep(by)
		l.mu.Lock()
	}
	for l.silent[d] {
		l.heard.Wait()
	}
}
