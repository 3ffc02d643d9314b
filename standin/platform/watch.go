package platform

import (
	"encoding/json"
	"net/http"

	"verbenashift/core/configuration/store/wire"
)

// serveWatch streams the changes of one key, one JSON line for each batch.
//
// The guard against a lost event: each look takes, under one lock, all events
// from the next revision on and the channel that the following change closes.
// So a change falls either into the look or after it, and a change that comes
// while a batch is being written is found by the next look.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	down := p.gate.enter(w, kindWatch)
	if down == nil {
		return
	}
	var req wire.WatchRequest
	if err := decode(w, r, &req); err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	p.gate.watching(1)
	defer p.gate.watching(-1)
	p.gate.wait(down)
	out := lineWriter{w: w}
	next := p.keys.startOf(req.Create)
	out.write(wire.WatchResponse{Header: wire.Header{Revision: wire.Int64(max(next-1, 1))}, Created: true})
	for {
		resp, changed := p.keys.look(string(req.Create.Key), next)
		if resp.CompactRevision > 0 || len(resp.Events) > 0 {
			p.gate.wait(down)
			out.write(resp)
		}
		if resp.Canceled {
			return
		}
		if n := len(resp.Events); n > 0 {
			next = int64(resp.Events[n-1].KV.ModRevision) + 1
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-down:
			p.gate.drop()
		}
	}
}

// startOf returns the first revision that a watch wants; 0 asks for changes
// from now on.
func (s *keyspace) startOf(req wire.WatchCreate) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.StartRevision > 0 {
		return int64(req.StartRevision)
	}
	return s.revision + 1
}

// look returns the events of a key from revision next on, and the channel that
// is closed at the change after them. A watch that wants events no longer kept
// is cancelled.
func (s *keyspace) look(name string, next int64) (wire.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.key(name)
	resp := wire.WatchResponse{Header: s.header()}
	if next <= k.dropped {
		resp.Canceled, resp.CompactRevision = true, wire.Int64(k.dropped+1)
		return resp, k.changed
	}
	for _, ev := range k.events {
		if int64(ev.KV.ModRevision) >= next {
			resp.Events = append(resp.Events, ev)
		}
	}
	return resp, k.changed
}

// lineWriter writes the lines of a watch and sends each at once. It ignores
// errors: the request's context ends when the connection does.
type lineWriter struct {
	w http.ResponseWriter
}

func (l lineWriter) write(resp wire.WatchResponse) {
	_ = json.NewEncoder(l.w).Encode(wire.WatchLine{Result: resp})
	_ = http.NewResponseController(l.w).Flush()
}
