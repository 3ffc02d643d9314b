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

// The kinds of calls of the store, as the ledger counts them.
const (
	kindRange     = "range"
	kindPut       = "put"
	kindTxn       = "txn"
	kindGrant     = "lease-grant"
	kindKeepAlive = "lease-keepalive"
	kindRevoke    = "lease-revoke"
	kindWatch     = "watch"
)

// effect names the keys that a call changed; nil for a call that changed none.
type effect []string

// gate stands before the store. It counts calls and carries out the faults.
type gate struct {
	mu      sync.Mutex
	faults  Faults
	limiter *rate.Limiter
	down    chan struct{} // closed while the store is down
	counts  Counts
	second  int64 // the second of which reads and writes are the counts
	reads   int64
	writes  int64
}

// Faults are the switches of the store, as POST /faults takes them.
type Faults struct {
	Down        bool    `json:"down"`
	LatencyMS   float64 `json:"latency-ms"`
	LoseAnswers int     `json:"lose-answers"`
	LosePrefix  string  `json:"lose-prefix"`
	RateLimit   int     `json:"rate-limit"`
}

// Counts say what the store was asked.
type Counts struct {
	// Calls counts by kind, dropped and refused calls too. A watch counts once
	// when it is opened.
	Calls map[string]int64 `json:"calls"`
	Total int64            `json:"total"`
	// Dropped counts calls whose connection was dropped while the store was
	// down, Refused those over the rate limit, LostAnswers dropped answers.
	Dropped     int64 `json:"dropped"`
	Refused     int64 `json:"refused"`
	LostAnswers int64 `json:"lost-answers"`
	OpenWatches int64 `json:"open-watches"`
	// PeakReads and PeakWrites are the most in any one second of the clock;
	// watches are reads, lease calls are writes.
	PeakReads  int64 `json:"peak-reads"`
	PeakWrites int64 `json:"peak-writes"`
}

func newGate(latency time.Duration) *gate {
	return &gate{
		faults: Faults{LatencyMS: latency.Seconds() * 1000},
		down:   make(chan struct{}),
		counts: Counts{Calls: make(map[string]int64)},
	}
}

// enter counts a call. It returns the channel that tells of an outage, or nil
// if the call was refused and answered. It drops the connection of a call that
// comes during an outage.
func (g *gate) enter(w http.ResponseWriter, kind string) <-chan struct{} {
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

func (g *gate) count(kind string) {
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

// drop ends the handler and closes its connection without an answer.
func (g *gate) drop() {
	g.mu.Lock()
	g.counts.Dropped++
	g.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// wait lets half of a call's time pass, or drops the call if an outage begins.
func (g *gate) wait(down <-chan struct{}) {
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

// loseAnswer drops the answer to a write that took effect, if one is to be lost.
func (g *gate) loseAnswer(done effect) {
	g.mu.Lock()
	lose := g.faults.LoseAnswers > 0 && done.touches(g.faults.LosePrefix)
	if lose {
		g.faults.LoseAnswers--
		g.counts.LostAnswers++
	}
	g.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (e effect) touches(prefix string) bool {
	for _, key := range e {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// set puts new switches in force.
func (g *gate) set(f Faults) {
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

// watching counts open watches up and down.
func (g *gate) watching(n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.OpenWatches += n
}

func (g *gate) snapshot() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts
	c.Calls = maps.Clone(c.Calls)
	return c
}

// serveFaults decodes over the switches in force, so that a field left out
// keeps its value.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if err := decode(w, r, &body); err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	f := p.gate.faults
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	p.gate.set(f)
	w.WriteHeader(http.StatusNoContent)
}
