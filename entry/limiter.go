package main

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"verbenashift/core/config"
)

// limiter keeps the rate limits of the workspaces at this entry.
type limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is one workspace's allowance.
type bucket struct {
	tokens   *rate.Limiter
	requests *rate.Limiter
}

// burst is how many seconds of its rate a workspace may use at once.
const burst = 2

func newLimiter() *limiter {
	return &limiter{buckets: make(map[string]*bucket)}
}

// allow takes one request of cost tokens, or returns when to come back.
func (l *limiter) allow(ws *config.Workspace, cost uint64) (time.Duration, bool) {
	if ws.TokensPerSecond == 0 && ws.RequestsPerSecond == 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[ws.Name]
	if !ok {
		b = &bucket{tokens: newRate(ws.TokensPerSecond), requests: newRate(ws.RequestsPerSecond)}
		l.buckets[ws.Name] = b
	}
	now := time.Now()
	if wait, ok := reserve(b.requests, 1, now); !ok {
		return wait, false
	}
	return reserve(b.tokens, int(cost), now)
}

func newRate(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond*burst), 1))
}

func reserve(l *rate.Limiter, n int, now time.Time) (time.Duration, bool) {
	if l.Limit() == rate.Inf {
		return 0, true
	}
	r := l.ReserveN(now, min(n, l.Burst()))
	wait := r.DelayFrom(now)
	if wait == 0 {
		return 0, true
	}
	r.CancelAt(now)
	return wait, false
}
