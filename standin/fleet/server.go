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

// Ledger counts the runs of requests at the servers, by request ID.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
	// runsIn counts the runs by zone of the server.
	runsIn map[string]int
	// crashingArrivals are the arrival times of requests that crash their servers,
	// crashes the times at which servers crashed, by cause.
	crashingArrivals, crashes map[string][]time.Time
	// arrivals are those by service, seen counts the attempts that reached servers by request.
	arrivals map[string]*arrivals
	seen     map[string]int
	// invalid counts requests that arrived with an Authorization header or with an
	// X-Tenant other than the workspace.
	invalid int
	// fronts maps request IDs to the gateways that the requests were sent to.
	fronts map[string]string
}

// recordSent records the gateway that a request is sent to.
func (l *Ledger) recordSent(id, front string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fronts[id] = front
}

// front returns the gateway that a request was sent to.
func (l *Ledger) front(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fronts[id]
}

func (l *Ledger) recordRun(id, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.runsIn[zone]++
}

func (l *Ledger) recordInvalid() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.invalid++
}

// recordCrashing records the arrival of a request that crashes its server.
func (l *Ledger) recordCrashing(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashingArrivals[cause] = append(l.crashingArrivals[cause], time.Now())
}

// recordCrash records that a request has crashed a server.
func (l *Ledger) recordCrash(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[cause] = append(l.crashes[cause], time.Now())
}

// Crashes returns the number of crashes by a cause, which is CrashText or a part of prompts, and how
// many requests with it reached servers more than grace after the n-th crash.
func (l *Ledger) Crashes(cause string, n int, grace time.Duration) (ended, later int) {
	at, ok := l.CrashTime(cause, n)
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		for _, arrival := range l.crashingArrivals[cause] {
			if arrival.After(at.Add(grace)) {
				later++
			}
		}
	}
	return len(l.crashes[cause]), later
}

// CrashTime returns the time of the n-th crash by a cause, or of the last one and false if there were
// fewer.
func (l *Ledger) CrashTime(cause string, n int) (at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes := l.crashes[cause]
	if len(crashes) == 0 {
		return time.Time{}, false
	}
	return crashes[min(n, len(crashes))-1], len(crashes) >= n
}

// Runs returns how often a request ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// RunsIn returns how many runs have begun at the servers of a zone.
func (l *Ledger) RunsIn(zone string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsIn[zone]
}

// server holds what model servers and plain servers have in common.
type server struct {
	id      string
	zone    string
	service string
	ledger  *Ledger
	// refuse, if not nil, reports whether the server refuses everything, as a full
	// server does.
	refuse func() bool
	// crash stops the server and starts it again later.
	crash   func()
	served  atomic.Int64
	limit   limit
	pause   pause
	leaving leaving
}

// causeOf returns what makes a request crash its server, or "".
func causeOf(r *http.Request, body []byte) string {
	if bytes.Contains(body, []byte(CrashText)) {
		return CrashText
	}
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); strings.HasPrefix(id, crashPrefix) || strings.HasPrefix(id, lateCrashPrefix) {
			return id
		}
	}
	return ""
}

// crashes reports whether a request crashes the server, and crashes it.
func (s *server) crashes(w http.ResponseWriter, r *http.Request, body []byte) bool {
	cause := causeOf(r, body)
	if cause == "" {
		return false
	}
	if strings.HasPrefix(cause, lateCrashPrefix) && strings.HasPrefix(r.URL.Path, streamPrefix) {
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvent(w, r, firstEvent(r))
	}
	// Send what there is of the response before the server stops.
	_ = http.NewResponseController(w).Flush()
	s.ledger.recordCrash(cause)
	s.crash()
	return true
}

// admit checks a request and reports whether to run it.
func (s *server) admit(w http.ResponseWriter, r *http.Request, body []byte) bool {
	s.ledger.recordArrival(r.Header.Get("X-Request-Id"), s.service)
	if cause := causeOf(r, body); cause != "" {
		s.ledger.recordCrashing(cause)
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	front := s.ledger.front(r.Header.Get("X-Request-Id"))
	s.limit.record(front, w.Header())
	s.leaving.record(front, w.Header())
	paused := s.pause.refuses(front, w.Header())
	if paused || s.refuse != nil && s.refuse() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("X-Tenant") != workspace {
		s.ledger.recordInvalid()
	}
	s.ledger.recordRun(r.Header.Get("X-Request-Id"), s.zone)
	s.served.Add(1)
	w.Header().Set("X-Response-Seal", "seal-"+r.Header.Get("X-Request-Id"))
	return true
}

// modelServer serves streams in addition to the calls of its rank.
type modelServer struct {
	server
	rank *Rank
	// frozen makes it accept connections without answering.
	frozen atomic.Bool
}

// faultPollInterval is how often a frozen or unresponsive server checks whether the
// fault has been cleared.
const faultPollInterval = 10 * time.Millisecond

// waitWhileFrozen blocks until the server is not frozen or the caller has
// disconnected.
func (m *modelServer) waitWhileFrozen(r *http.Request) {
	for m.frozen.Load() && r.Context().Err() == nil {
		time.Sleep(faultPollInterval)
	}
}

// isDown reports whether the server has crashed and not been restarted.
func (m *modelServer) isDown() bool {
	g := m.rank.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.absent[m.rank]
}

func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.waitWhileFrozen(r)
	if m.isDown() {
		panic(http.ErrAbortHandler)
	}
	if !strings.HasPrefix(r.URL.Path, streamPrefix) {
		m.rank.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || !m.admit(w, r, body) || m.crashes(w, r, body) {
		return
	}
	w, end := unframe(w, r)
	defer end()
	m.stream(w, r)
}

// firstEvent returns the number of the first event that a request asks for.
func firstEvent(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return last + 1
}

// writeEvent writes an event of a stream.
func writeEvent(w http.ResponseWriter, r *http.Request, n int) {
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(r.Header.Get("X-Request-Id"), n))
}

// stream sends events, one per forward pass of the group.
func (m *modelServer) stream(w http.ResponseWriter, r *http.Request) {
	st := &stream{next: firstEvent(r), last: streamEvents, events: make(chan int, streamEvents+1), callerDone: r.Context().Done()}
	w.Header().Set("Content-Type", "text/event-stream")
	if st.next > st.last {
		return // The caller has all events, but not the end.
	}
	g := m.rank.group
	g.mu.Lock()
	m.rank.waiting = append(m.rank.waiting, st)
	g.mu.Unlock()
	for n := range st.events {
		m.waitWhileFrozen(r)
		writeEvent(w, r, n)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if st.aborted {
		// The caller must not take the answer for complete.
		panic(http.ErrAbortHandler)
	}
}

// Fault is a fault of a plain server that accepts requests and reports itself as
// healthy.
type Fault int32

// The faults of plain servers.
const (
	// NoFault servers answer normally.
	NoFault Fault = iota
	// Unresponsive servers run requests but do not answer.
	Unresponsive
	// Failing servers run requests but answer with status 500.
	Failing
)

// plainServer answers small requests.
type plainServer struct {
	server
	fault atomic.Int32
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !p.admit(w, r, body) || p.crashes(w, r, body) {
		return
	}
	w, end := unframe(w, r)
	defer end()
	time.Sleep(2 * time.Millisecond)
	for Fault(p.fault.Load()) == Unresponsive && r.Context().Err() == nil {
		time.Sleep(faultPollInterval)
	}
	if Fault(p.fault.Load()) == Failing {
		w.WriteHeader(http.StatusInternalServerError)
	}
	text := plainText(r.Header.Get("X-Request-Id"))
	switch {
	case isLong(r.URL.Path):
		text += strings.Repeat(" ", longAnswer-len(text))
	case strings.HasSuffix(r.URL.Path, "/"+wideName):
		text += strings.Repeat(" ", wideAnswer-len(text))
	}
	fmt.Fprint(w, text)
}

// The contents of requests and answers, which callers check.
const (
	streamEvents = 12
	streamPrefix = "/drafts/"
	safePrefix   = "/lookups/"
	unsafePrefix = "/holds/"
	workspace    = "harbor-home"
	secret       = "key-of-harbor-home"
	host         = "desk.example"
	// CrashText in a body makes the request crash each server that begins to run it.
	CrashText = "a draft that no engine survives"
	// Parts of a prompt with these prefixes do so as well, the second kind after a first event.
	crashPrefix     = "dead"
	lateCrashPrefix = "fade"
)

func eventText(id string, n int) string { return fmt.Sprintf("%s part %d", id, n) }

func plainText(id string) string { return "answer to " + id }
