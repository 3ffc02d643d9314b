package platform

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"verbenashift/core/configuration/store/wire"
)

// The kinds of store calls that the ledger counts.
const (
	kindRange     = "range"
	kindPut       = "put"
	kindTxn       = "txn"
	kindGrant     = "lease-grant"
	kindKeepAlive = "lease-keepalive"
	kindRevoke    = "lease-revoke"
	kindWatch     = "watch"
)

// changedKeys lists the keys that a call changed; it is empty if it changed none.
type changedKeys []string

// faultInjector counts the calls of the store and injects the faults into them.
type faultInjector struct {
	mu      sync.Mutex
	faults  Faults
	limiter *rate.Limiter
	down    chan struct{} // closed while the store is down
	counts  Counts
	second  int64 // the Unix second that reads and writes count
	reads   int64
	writes  int64
}

// Faults are the injected faults of the store, the body of POST /faults.
type Faults struct {
	Down        bool    `json:"down"`
	LatencyMS   float64 `json:"latency-ms"`
	LoseAnswers int     `json:"lose-answers"`
	LosePrefix  string  `json:"lose-prefix"`
	RateLimit   int     `json:"rate-limit"`
}

// Counts are the numbers of calls of the store.
type Counts struct {
	// Calls counts the calls by kind, including dropped and refused ones. A watch
	// counts once, when it is opened.
	Calls map[string]int64 `json:"calls"`
	Total int64            `json:"total"`
	// Dropped counts calls whose connection was dropped while the store was
	// down, Refused those over the rate limit, and LostAnswers dropped responses.
	Dropped     int64 `json:"dropped"`
	Refused     int64 `json:"refused"`
	LostAnswers int64 `json:"lost-answers"`
	OpenWatches int64 `json:"open-watches"`
	// PeakReads and PeakWrites are the highest counts in any one second of the
	// clock. Watches count as reads, lease calls as writes.
	PeakReads  int64 `json:"peak-reads"`
	PeakWrites int64 `json:"peak-writes"`
}

func newFaultInjector(latency time.Duration) *faultInjector {
	return &faultInjector{
		faults: Faults{LatencyMS: latency.Seconds() * 1000},
		down:   make(chan struct{}),
		counts: Counts{Calls: make(map[string]int64)},
	}
}

// enter counts a call. It returns the channel that is closed at the next outage,
// or nil if it refused the call and sent the response. During an outage it drops
// the connection.
func (g *faultInjector) enter(w http.ResponseWriter, kind string) <-chan struct{} {
	g.mu.Lock()
	g.count(kind)
	refused := !g.faults.Down && g.limiter != nil && !g.limiter.Allow()
	if refused {
		g.counts.Refused++
	}
	isDown, down := g.faults.Down, g.down
	g.mu.Unlock()
	if isDown {
		g.drop()
	}
	if refused {
		body := wire.Error{Code: codeResourceExhausted, Message: "too many requests"}
		writeError(w, &callError{http.StatusTooManyRequests, body})
		return nil
	}
	return down
}

func (g *faultInjector) count(kind string) {
	g.counts.Calls[kind]++
	g.counts.Total++
	if now := time.Now().Unix(); now != g.second {
		g.second, g.reads, g.writes = now, 0, 0
	}
	if kind == kindRange || kind == kindWatch {
		g.reads++
	} else {
		g.writes++
	}
	g.counts.PeakReads = max(g.counts.PeakReads, g.reads)
	g.counts.PeakWrites = max(g.counts.PeakWrites, g.writes)
}

// drop aborts the handler and closes its connection without a response.
func (g *faultInjector) drop() {
	g.mu.Lock()
	g.counts.Dropped++
	g.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// wait waits for half of the call latency, or drops the call if an outage begins.
func (g *faultInjector) wait(down <-chan struct{}) {
	g.mu.Lock()
	half := time.Duration(g.faults.LatencyMS * float64(time.Millisecond) / 2)
	g.mu.Unlock()
	timer := time.NewTimer(half)
	defer timer.Stop()
	select {
	case <-down:
		g.drop()
	case <-timer.C:
	}
}

// loseAnswer drops the response to a call that changed keys, if LoseAnswers and
// LosePrefix ask for it.
func (g *faultInjector) loseAnswer(done changedKeys) {
	g.mu.Lock()
	lose := g.faults.LoseAnswers > 0 && done.hasPrefix(g.faults.LosePrefix)
	if lose {
		g.faults.LoseAnswers--
		g.counts.LostAnswers++
	}
	g.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (e changedKeys) hasPrefix(prefix string) bool {
	for _, key := range e {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// set replaces the faults. The caller holds g.mu.
func (g *faultInjector) set(f Faults) {
	switch {
	case f.Down && !g.faults.Down:
		close(g.down)
	case !f.Down && g.faults.Down:
		g.down = make(chan struct{})
	}
	switch {
	case f.RateLimit <= 0:
		g.limiter = nil
	case f.RateLimit != g.faults.RateLimit:
		g.limiter = rate.NewLimiter(rate.Limit(f.RateLimit), f.RateLimit)
	}
	g.faults = f
}

// addOpenWatches adds n to the count of open watches.
func (g *faultInjector) addOpenWatches(n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.OpenWatches += n
}

func (g *faultInjector) snapshot() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts
	c.Calls = maps.Clone(c.Calls)
	return c
}

// serveFaults decodes the body over the current faults, so that an omitted field
// keeps its value.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if err := decode(w, r, &body); err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	p.injector.mu.Lock()
	defer p.injector.mu.Unlock()
	f := p.injector.faults
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	p.injector.set(f)
	w.WriteHeader(http.StatusNoContent)
}
