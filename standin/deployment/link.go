package deployment

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Link is a TCP relay between two processes that can be cut and healed. It is
// safe for use by several goroutines.
type Link struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	cut    bool
	silent bool
	// changed is closed when a silent link is silent no more.
	changed chan struct{}
	closed  bool
}

// NewLink listens on the address from and passes connections on to the
// address to.
func NewLink(from, to string) (*Link, error) {
	ln, err := net.Listen("tcp", from)
	if err != nil {
		return nil, errors.Wrap(err, "open link")
	}
	l := &Link{listener: ln, to: to, conns: make(map[net.Conn]struct{}), changed: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Cut ends every connection and refuses new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	l.drop()
}

// Blackhole holds all bytes back, in both ways, as a network does that drops
// packets: nobody is told. New connections are taken and hear nothing.
func (l *Link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

// Heal ends a cut or a silence. Bytes held back arrive now, and the end of a
// connection that was given up meanwhile a moment after them.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent {
		close(l.changed)
		l.changed = make(chan struct{})
	}
	l.cut, l.silent = false, false
}

// Close ends the link.
func (l *Link) Close() error {
	l.Heal()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.drop()
	return l.listener.Close()
}

func (l *Link) drop() {
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
		go l.join(c)
	}
}

// join connects c with the other side until one of them ends.
func (l *Link) join(c net.Conn) {
	defer func() { _ = c.Close() }()
	if !l.keep(c) {
		return
	}
	defer l.forget(c)
	other, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer func() { _ = other.Close() }()
	if !l.keep(other) {
		return
	}
	defer l.forget(other)
	done := make(chan bool, 2)
	go func() { done <- l.pass(other, c) }()
	go func() { done <- l.pass(c, other) }()
	if late := <-done; late {
		time.Sleep(linger)
	}
}

// linger is the time between bytes that were held back and the end of their
// connection: packets that were delayed do not bring the end with them.
const linger = 500 * time.Millisecond

func (l *Link) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.closed {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Link) forget(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// pass copies bytes while the link is not silent. It reports whether any were
// held back.
func (l *Link) pass(to io.Writer, from io.Reader) (late bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if wait := l.held(); wait != nil {
			late = true
			<-wait
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return late
			}
		}
		if err != nil {
			return late
		}
	}
}

// held returns what ends the silence, nil if the link is not silent.
func (l *Link) held() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent {
		return l.changed
	}
	return nil
}
