package main

import (
	"io"
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
}

func startLink(addr, to string) (*link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	healed := make(chan struct{})
	close(healed)
	k := &link{to: to, l: l, healed: healed}
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

func (k *link) carry(c net.Conn) {
	defer c.Close()
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
	go k.pass(up, c)
	k.pass(c, up)
}

func (k *link) pass(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		<-k.working()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			if err == io.EOF {
				if t, ok := to.(*net.TCPConn); ok {
					t.CloseWrite()
					return
				}
			}
			break
		}
	}
	to.Close()
	from.Close()
}
