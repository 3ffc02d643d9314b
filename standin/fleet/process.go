package fleet

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// process is a server that can end and start again at its address.
type process struct {
	addr    string
	handler http.Handler

	mu     sync.Mutex
	server *http.Server
}

// start listens and serves.
func (p *process) start() error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: p.handler, ReadHeaderTimeout: time.Minute}
	p.mu.Lock()
	p.server = s
	p.mu.Unlock()
	go func() {
		// It ends when stop closes it.
		_ = s.Serve(l)
	}()
	return nil
}

// stop closes the listener and all connections.
func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Requests in progress are of no interest any more.
	_ = p.server.Close()
}
