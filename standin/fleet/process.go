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

	mu sync.Mutex
	// server is nil while the process has ended.
	server *http.Server
}

// start listens and serves, if the process has ended.
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
		// It ends when stop closes it.
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
	// Requests in progress are of no interest any more.
	_ = p.server.Close()
	p.server = nil
}
