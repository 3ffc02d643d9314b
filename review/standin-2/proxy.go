package main

import (
	"net"
	"sync"
	"time"
)

// link is a path to an address that can be cut without a sound, as by a partition: bytes on open
// connections wait until the cut ends, and connections that are opened meanwhile get no answer. The
// opening packet of such a connection is sent again after one and three seconds.
type link struct {
	to string
	l  net.Listener

	mu     sync.Mutex
	healed chan struct{} // closed while the link works
	// silenced is closed when the connections that are open go silent for good.
	silenced chan struct{}
}

// ackTimeout is how long after a byte that nobody acknowledges the sender's system ends the connection, as
// the project has set it (TCP_USER_TIMEOUT).
const ackTimeout = 800 * time.Millisecond

func startLink(addr, to string) (*link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	healed := make(chan struct{})
	close(healed)
	k := &link{to: to, l: l, healed: healed, silenced: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(c)
		}
	}()
	return k, nil
}

func (k *link) working() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.healed
}

func (k *link) isCut() bool {
	select {
	case <-k.working():
		return false
	default:
		return true
	}
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

// silence makes all open connections silent for good, without a reset; new ones work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.silenced)
	k.silenced = make(chan struct{})
}

func (k *link) carry(c net.Conn) {
	defer c.Close()
	k.mu.Lock()
	silenced := k.silenced
	k.mu.Unlock()
	for _, again := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		if !k.isCut() {
			break
		}
		time.Sleep(again)
	}
	if k.isCut() {
		return
	}
	up, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer up.Close()
	go func() {
		if k.pass(c, up, silenced) {
			c.Close()
		}
	}()
	k.pass(up, c, silenced)
	select {
	case <-silenced:
		// The process has sent something on a silent connection, or has closed it.
		time.Sleep(ackTimeout)
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	default:
	}
}

// pass copies bytes until one end closes the connection, and reports whether the other end hears of that.
// Once the connection is silent it ends with the next byte, which is lost.
func (k *link) pass(to, from net.Conn, silenced <-chan struct{}) bool {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		<-k.working()
		select {
		case <-silenced:
			return false
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return true
			}
		}
		if err != nil {
			return true
		}
	}
}
