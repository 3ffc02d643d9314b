package fleet

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as encoded in answers.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	// oldest is the first revision that is still in the history.
	oldest  int64
	changed chan struct{}
	down    bool
	// unresponsive makes it accept calls without answering them.
	unresponsive bool
	calls        int
	leases       leases
	// era counts how often the store was restored from a copy.
	era int64
	// reads counts the pages read since then.
	reads int
	// external holds the values that the operator and the servers have written last.
	external map[string]string
	// afterWrite is called once, after the next transaction and before its answer.
	afterWrite func()
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: map[string]item{}, changed: make(chan struct{}), oldest: 1, leases: leases{live: map[int64]*lease{}},
		external: map[string]string{},
	}
}

// Put writes a key, as the operator or a server does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.external[key] = base64.StdEncoding.EncodeToString(value)
	s.put(key, s.external[key])
	s.notifyWatchers()
}

// Remove removes a key, as the operator or a server does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.external, key)
	s.remove(key)
	s.notifyWatchers()
}

// remove removes a key if it exists. The caller must hold s.mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// SetUnresponsive makes the store leave all calls unanswered, or serve again.
func (s *Store) SetUnresponsive(unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = unresponsive
	s.notifyWatchers()
}

// waitWhileUnresponsive blocks until the store is responsive or the caller has
// disconnected.
func (s *Store) waitWhileUnresponsive(r *http.Request) {
	for {
		s.mu.Lock()
		unresponsive, changed := s.unresponsive, s.changed
		s.mu.Unlock()
		if !unresponsive {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision+1
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) put(key, value string) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the store's API of the platform's specification.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down, era := s.down, s.era
	s.mu.Unlock()
	s.waitWhileUnresponsive(r)
	w.Header().Set(eraHeader, strconv.FormatInt(era, 10))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, leaseKeepAlivePath):
		s.renewLease(w, r)
		return
	case strings.HasPrefix(r.URL.Path, leaseEndPath):
		s.revokeLease(w, r)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /kv-key":
		s.get(w, r)
	case "GET /kv-range":
		s.list(w, r)
	case "GET /kv-watch":
		s.watch(w, r)
	case "POST /kv-txn":
		s.applyTxn(w, r)
	case "POST /kv-lease":
		s.grantLease(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		AsOf int64 `json:"asOf"`
	}{it, asOf})
}

// pageSize is small, so that callers have to read several pages.
const pageSize = 8

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	answer(w, map[string]any{"items": found, "hasMore": more, "asOf": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.restoredSince(w) {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after+1 < s.oldest || after > s.revision || s.down {
			status := http.StatusGone
			if s.down {
				status = http.StatusServiceUnavailable
			}
			s.mu.Unlock()
			w.WriteHeader(status)
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-limit:
			answer(w, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) applyTxn(w http.ResponseWriter, r *http.Request) {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restoredSince(w) {
		panic(http.ErrAbortHandler)
	}
	for _, e := range body.Expect {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases.live[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		if isExternal(p.Key) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.put(p.Key, p.Value)
		s.bindKey(p.Key, p.Lease)
	}
	for _, key := range body.Deletes {
		s.remove(key)
	}
	s.notifyWatchers()
	revision := s.revision
	if s.callAfterWrite(); s.restoredSince(w) {
		panic(http.ErrAbortHandler)
	}
	answer(w, map[string]any{"revision": revision})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// It fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
