package fleet

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// process is a server that can be stopped and started again at the same address.
type process struct {
	addr    string
	handler http.Handler

	mu sync.Mutex
	// server is nil while the process is stopped.
	server *http.Server
}

// start listens and serves, if the process is stopped.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: p.handler, ReadHeaderTimeout: time.Minute}
	p.server = s
	go func() {
		// It returns when stop closes the server.
		_ = s.Serve(l)
	}()
	return nil
}

// stop closes the listener and all connections.
func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server == nil {
		return
	}
	// Requests in progress may be cut off.
	_ = p.server.Close()
	p.server = nil
}
