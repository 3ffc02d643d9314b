package deployment

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Link is a TCP relay between two processes that can simulate network
// partitions. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	to       string

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	cut        bool
	blackholed bool
	// healed is closed when a blackholed link is healed.
	healed chan struct{}
	closed bool
}

// NewLink listens on the address from and relays connections to the address
// to.
func NewLink(from, to string) (*Link, error) {
	ln, err := net.Listen("tcp", from)
	if err != nil {
		return nil, errors.Wrap(err, "open link")
	}
	l := &Link{listener: ln, to: to, conns: make(map[net.Conn]struct{}), healed: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Cut closes every connection and rejects new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	l.closeConns()
}

// Blackhole holds back all bytes in both directions, like a network that drops
// packets: neither end gets an error. New connections are accepted and receive
// nothing.
func (l *Link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blackholed = true
}

// Heal undoes Cut and Blackhole. Bytes that were held back are delivered now; if
// an end closed its connection meanwhile, the other sees that closeDelay later.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blackholed {
		close(l.healed)
		l.healed = make(chan struct{})
	}
	l.cut, l.blackholed = false, false
}

// Close heals and closes the link and its connections.
func (l *Link) Close() error {
	l.Heal()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeConns()
	return l.listener.Close()
}

func (l *Link) closeConns() {
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(c)
	}
}

// relay copies between c and a new connection to the other side until one of
// them is closed.
func (l *Link) relay(c net.Conn) {
	defer func() { _ = c.Close() }()
	if !l.track(c) {
		return
	}
	defer l.untrack(c)
	other, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer func() { _ = other.Close() }()
	if !l.track(other) {
		return
	}
	defer l.untrack(other)
	done := make(chan bool, 2)
	go func() { done <- l.copyBytes(other, c) }()
	go func() { done <- l.copyBytes(c, other) }()
	if delayed := <-done; delayed {
		time.Sleep(closeDelay)
	}
}

// closeDelay is the time between the delivery of bytes that were held back and
// the close of their connection, because delayed packets do not arrive together
// with the close.
const closeDelay = 500 * time.Millisecond

func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.closed {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Link) untrack(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// copyBytes copies bytes in one direction and waits while the link is
// blackholed. It reports whether any bytes were held back.
func (l *Link) copyBytes(to io.Writer, from io.Reader) (delayed bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if wait := l.blocked(); wait != nil {
			delayed = true
			<-wait
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return delayed
			}
		}
		if err != nil {
			return delayed
		}
	}
}

// blocked returns a channel that is closed when the link is healed, nil if the
// link is not blackholed.
func (l *Link) blocked() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blackholed {
		return l.healed
	}
	return nil
}
