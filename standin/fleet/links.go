package fleet

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is one direction of a connection.
type Direction int

// The directions of a connection from a gateway or sidecar to the store or a server.
const (
	ToServer Direction = iota
	ToClient
	directions
)

// Links relays the connections from gateways and sidecars to the store and the
// servers, so that they can be delayed, reset, or blocked in one or both directions
// while both ends live.
type Links struct {
	mu        sync.Mutex
	blocked   [directions]bool
	delay     [directions]time.Duration
	unblocked *sync.Cond
	conns     map[net.Conn]net.Conn
}

func newLinks() *Links {
	l := &Links{conns: map[net.Conn]net.Conn{}}
	l.unblocked = sync.NewCond(&l.mu)
	return l
}

// Reset resets all connections.
func (l *Links) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, b := range l.conns {
		for _, c := range []net.Conn{a, b} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	clear(l.conns)
}

// Blackhole holds back all bytes of open and of new connections in both directions, or
// releases them.
func (l *Links) Blackhole(blocked bool) {
	for d := range directions {
		l.Block(d, blocked)
	}
}

// Block holds back all bytes in one direction, or releases them.
func (l *Links) Block(d Direction, block bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked[d] = block
	l.unblocked.Broadcast()
}

// Delay delays all bytes in one direction by the given time.
func (l *Links) Delay(d Direction, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay[d] = by
}

// serve relays connections accepted by from to the address to, until from is closed.
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
		l.conns[a] = b
		l.mu.Unlock()
		go l.copyBytes(a, b, a, ToClient)
		go l.copyBytes(b, a, a, ToServer)
	}
}

// copyBytes copies one direction; key is the connection under which the pair is stored
// in l.conns.
func (l *Links) copyBytes(to, from, key net.Conn, d Direction) {
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
			if tcp, ok := to.(*net.TCPConn); ok && !errors.Is(err, io.EOF) {
				_ = tcp.SetLinger(0) // A reset is passed on as one.
			}
			break
		}
	}
	// Close both ends; errors are irrelevant here.
	_ = to.Close()
	_ = from.Close()
	l.mu.Lock()
	delete(l.conns, key)
	l.mu.Unlock()
}

// wait blocks while the direction is delayed or blocked.
func (l *Links) wait(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if by := l.delay[d]; by > 0 {
		l.mu.Unlock()
		time.Sleep(by)
		l.mu.Lock()
	}
	for l.blocked[d] {
		l.unblocked.Wait()
	}
}
