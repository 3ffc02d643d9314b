package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store, as PROTOCOL.md describes it. It is always up and answers at once;
// disruptions are made by a proxy before it.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]*item
	history  []event
	changed  chan struct{}
	leases   map[int64]*lease
	server   *http.Server
}

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

// event is an item as it was written, or a removal.
type event struct {
	item
	removed bool
}

func (e event) MarshalJSON() ([]byte, error) {
	if e.removed {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "removed": true})
	}
	return json.Marshal(e.item)
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func startStore(addr string) (*store, error) {
	s := &store{revision: 1, items: map[string]*item{}, changed: make(chan struct{}), leases: map[int64]*lease{}}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	go s.expire()
	return s, nil
}

func (s *store) put(key string, value any) int64 {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, base64.StdEncoding.EncodeToString(data), 0)
	s.notify()
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] != nil {
		s.revision++
		s.drop(key)
		s.notify()
	}
}

func (s *store) write(key, value string, lease int64) {
	it := &item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old := s.items[key]; old != nil {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, event{item: *it})
}

func (s *store) drop(key string) {
	delete(s.items, key)
	s.history = append(s.history, event{item{Key: key, Revision: s.revision}, true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.items[r.URL.Query().Get("key")]
	if it == nil {
		answer(w, 404, map[string]any{"asOf": s.revision})
		return
	}
	answer(w, 200, struct {
		item
		AsOf int64 `json:"asOf"`
	}{*it, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > 500
	items := []item{}
	for _, k := range keys[:min(len(keys), 500)] {
		items = append(items, *s.items[k])
	}
	answer(w, 200, map[string]any{"items": items, "hasMore": more, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for last := ms == 0; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			answer(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, 403, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, 404, struct{}{})
			return
		}
	}
	holds, now := true, []item{}
	for _, e := range body.Expect {
		revision := int64(0)
		if it := s.items[e.Key]; it != nil {
			revision = it.Revision
			now = append(now, *it)
		}
		holds = holds && revision == e.Revision
	}
	if !holds {
		answer(w, 412, map[string]any{"items": now})
		return
	}
	s.revision++
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range body.Deletes {
		if s.items[k] != nil {
			s.drop(k)
		}
	}
	s.notify()
	answer(w, 200, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(min(max(body.TTL, 1000), 600_000)) * time.Millisecond
	s.revision++
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, 200, map[string]any{"lease": s.revision, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, 404, struct{}{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, 200, struct{}{})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for k, it := range s.items {
		if it.Lease == id {
			s.drop(k)
		}
	}
	s.notify()
}

func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}
