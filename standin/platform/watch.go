package platform

import (
	"encoding/json"
	"net/http"

	"verbenashift/core/configuration/store/wire"
)

// serveWatch streams the changes of one key, one JSON line for each batch.
//
// No event is lost: eventsFrom returns, under one lock, all events from the next
// revision on and the channel that the following change closes. So a change is
// either among these events or closes the channel, and a change during the write of
// a batch is found by the next call.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	down := p.injector.enter(w, kindWatch)
	if down == nil {
		return
	}
	var req wire.WatchRequest
	if err := decode(w, r, &req); err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	p.injector.addOpenWatches(1)
	defer p.injector.addOpenWatches(-1)
	p.injector.wait(down)
	p.stateEra(w)
	out := lineWriter{w: w}
	next := p.keys.firstRevision(req.Create)
	out.write(wire.WatchResponse{Header: wire.Header{Revision: wire.Int64(max(next-1, 1))}, Created: true})
	for {
		resp, changed := p.keys.eventsFrom(string(req.Create.Key), next)
		if resp.CompactRevision > 0 || len(resp.Events) > 0 {
			p.injector.wait(down)
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
			p.injector.drop()
		}
	}
}

// firstRevision returns the first revision that a watch requests. Start revision 0
// requests changes from now on.
func (s *keyspace) firstRevision(req wire.WatchCreate) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.StartRevision > 0 {
		return int64(req.StartRevision)
	}
	return s.revision + 1
}

// eventsFrom returns the events of a key from revision next on, and the channel
// that is closed at the change after them. It cancels a watch whose events are no
// longer retained.
func (s *keyspace) eventsFrom(name string, next int64) (wire.WatchResponse, <-chan struct{}) {
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

// lineWriter writes the lines of a watch and flushes each one. It ignores errors,
// since the request's context ends with the connection.
type lineWriter struct {
	w http.ResponseWriter
}

func (l lineWriter) write(resp wire.WatchResponse) {
	_ = json.NewEncoder(l.w).Encode(wire.WatchLine{Result: resp})
	_ = http.NewResponseController(l.w).Flush()
}
