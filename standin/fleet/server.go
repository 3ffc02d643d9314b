package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Ledger counts what servers ran, by request.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
	// crashing are the arrivals of requests that crash their servers, and crashes the
	// moments at which servers have ended under one.
	crashing, crashes []time.Time
	// wrong are requests that came with a key, without a workspace, or for
	// another server.
	wrong int
	// fronts are the gateways to which requests were sent.
	fronts map[string]string
}

// sent records to which gateway a request is sent.
func (l *Ledger) sent(id, front string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fronts[id] = front
}

// front returns the gateway to which a request was sent.
func (l *Ledger) front(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fronts[id]
}

func (l *Ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *Ledger) mark() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong++
}

// arrived records that a request has reached a server that it would crash.
func (l *Ledger) arrived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashing = append(l.crashing, time.Now())
}

// crashed records that a server has ended under a request.
func (l *Ledger) crashed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, time.Now())
}

// Crashes returns how many servers have ended under a request, and how often such requests
// have reached servers later than a grace after the third.
func (l *Ledger) Crashes(grace time.Duration) (ended, later int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) < 3 {
		return len(l.crashes), 0
	}
	for _, at := range l.crashing {
		if at.After(l.crashes[2].Add(grace)) {
			later++
		}
	}
	return len(l.crashes), later
}

// Runs returns how often a request ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// server is what model servers and plain ones have in common.
type server struct {
	id     string
	ledger *Ledger
	// refuse makes it refuse everything, as a full server does.
	refuse func() bool
	// crash ends the server and starts it again later.
	crash   func()
	served  atomic.Int64
	limit   limit
	pause   pause
	leaving leaving
}

// crashes reports whether a request that has begun ends the server, and ends it.
func (s *server) crashes(w http.ResponseWriter, body []byte) bool {
	if !bytes.Contains(body, []byte(crashText)) {
		return false
	}
	// The head is out when the run ends.
	_ = http.NewResponseController(w).Flush()
	s.ledger.crashed()
	s.crash()
	return true
}

// admit checks a request and reports whether it is to run.
func (s *server) admit(w http.ResponseWriter, r *http.Request, body []byte) bool {
	if bytes.Contains(body, []byte(crashText)) {
		s.ledger.arrived()
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	front := s.ledger.front(r.Header.Get("X-Request-Id"))
	s.limit.arrive(front, w.Header())
	s.leaving.arrive(front, w.Header())
	paused := s.pause.refuses(front, w.Header())
	if paused || s.refuse != nil && s.refuse() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("X-Tenant") != workspace {
		s.ledger.mark()
	}
	s.ledger.ran(r.Header.Get("X-Request-Id"))
	s.served.Add(1)
	w.Header().Set("X-Response-Seal", "seal-"+r.Header.Get("X-Request-Id"))
	return true
}

// modelServer answers streams beside the calls of its rank.
type modelServer struct {
	server
	rank *Rank
	// frozen makes it stand still: it takes connections and says nothing.
	frozen atomic.Bool
}

// freezePoll is how often a frozen server looks whether it goes on.
const freezePoll = 10 * time.Millisecond

// thaw waits while the server stands still, or until the caller has left.
func (m *modelServer) thaw(r *http.Request) {
	for m.frozen.Load() && r.Context().Err() == nil {
		time.Sleep(freezePoll)
	}
}

// away reports whether the server has crashed and not started again.
func (m *modelServer) away() bool {
	g := m.rank.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lost[m.rank]
}

func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.thaw(r)
	if m.away() {
		panic(http.ErrAbortHandler)
	}
	if !strings.HasPrefix(r.URL.Path, streamPrefix) {
		m.rank.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || !m.admit(w, r, body) || m.crashes(w, body) {
		return
	}
	m.stream(w, r)
}

// stream answers with events, one with each pass of the group.
func (m *modelServer) stream(w http.ResponseWriter, r *http.Request) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	st := &stream{next: first, last: streamEvents, events: make(chan int, streamEvents+1), gone: r.Context().Done()}
	g := m.rank.group
	g.mu.Lock()
	m.rank.waiting = append(m.rank.waiting, st)
	g.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range st.events {
		m.thaw(r)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(r.Header.Get("X-Request-Id"), n))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if st.cut {
		// The caller must not take it for whole.
		panic(http.ErrAbortHandler)
	}
}

// Fault is what a plain server does wrong while it takes requests and says that it is well.
type Fault int32

// The faults of plain servers.
const (
	// NoFault servers answer.
	NoFault Fault = iota
	// Unresponsive servers run requests and answer nothing.
	Unresponsive
	// Failing servers run requests and answer with failures.
	Failing
)

// plainServer answers small requests.
type plainServer struct {
	server
	fault atomic.Int32
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !p.admit(w, r, body) || p.crashes(w, body) {
		return
	}
	time.Sleep(2 * time.Millisecond)
	for Fault(p.fault.Load()) == Unresponsive && r.Context().Err() == nil {
		time.Sleep(freezePoll)
	}
	if Fault(p.fault.Load()) == Failing {
		w.WriteHeader(http.StatusInternalServerError)
	}
	fmt.Fprint(w, plainText(r.Header.Get("X-Request-Id")))
}

// What answers hold; a caller knows what to expect.
const (
	streamEvents = 12
	streamPrefix = "/drafts/"
	safePrefix   = "/lookups/"
	unsafePrefix = "/holds/"
	workspace    = "harbor-home"
	secret       = "key-of-harbor-home"
	host         = "desk.example"
	// crashText makes a body one that crashes each server that begins to run it.
	crashText = "a draft that no engine survives"
)

func eventText(id string, n int) string { return fmt.Sprintf("%s part %d", id, n) }

func plainText(id string) string { return "answer to " + id }
