package client

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"verbenashift/core/request/outcome"
	"verbenashift/standin/judge"
)

const (
	// defaultRetryDelay is the mean delay before another attempt if the entry
	// sends no Retry-After.
	defaultRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
)

// Player replays a workload against entries.
type Player struct {
	Entries []string
	// Tokens maps each workspace to its token.
	Tokens map[string]string
	// Attempts bounds the attempts of one request.
	Attempts int
	// Timeout bounds the time of one request including all its attempts.
	Timeout time.Duration
	// Rate is the number of requests started per second; 0 means as many as
	// Concurrency allows.
	Rate        float64
	Concurrency int

	exchange *exchanger
	next     atomic.Uint64
	begun    atomic.Int64
	mu       sync.Mutex
	// firstEntry maps a key to the index of the entry that it was first sent to,
	// so that a request that repeats the key starts at another entry.
	firstEntry map[string]int
}

// Play sends every line and returns one record per line, in the same order.
func (p *Player) Play(ctx context.Context, lines []Line) []judge.Record {
	p.exchange = newExchanger(p.Concurrency)
	p.firstEntry = make(map[string]int)
	records := make([]judge.Record, len(lines))
	limiter := rate.NewLimiter(rate.Inf, 1)
	if p.Rate > 0 {
		limiter = rate.NewLimiter(rate.Limit(p.Rate), 1)
	}
	slots := make(chan struct{}, p.Concurrency)
	var all sync.WaitGroup
	for i := range lines {
		slots <- struct{}{}
		if limiter.Wait(ctx) != nil {
			<-slots
			records[i] = newRecord(&lines[i])
			continue
		}
		all.Go(func() {
			defer func() { <-slots }()
			records[i] = p.request(ctx, &lines[i])
		})
	}
	all.Wait()
	return records
}

// Begun returns how many requests have received a part of their answer.
func (p *Player) Begun() int { return int(p.begun.Load()) }

func newRecord(l *Line) judge.Record {
	return judge.Record{
		Line: l.Number, Workspace: l.Workspace, Class: l.Class,
		IdempotencyKey: l.IdempotencyKey, MayNotRepeat: l.MayNotRepeat,
	}
}

// request sends one line, with retries, until it has a final answer.
func (p *Player) request(ctx context.Context, l *Line) judge.Record {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	r, c := newRecord(l), newCall(l)
	got := progress{begun: &p.begun}
	began := time.Now()
	first := p.entry(l)
	for n := range p.Attempts {
		e := p.attempt(ctx, &r, c, &got, p.Entries[(first+n)%len(p.Entries)])
		r.Outcome = e.outcome
		if !e.retryable(c, &got) || n+1 == p.Attempts {
			break
		}
		if !e.handover && !sleep(ctx, e.retryDelay()) {
			break
		}
	}
	r.Total = time.Since(began)
	if !got.first.IsZero() {
		r.First = got.first.Sub(began)
	}
	r.Answer = judge.Exact
	if c.checked {
		r.Answer = judge.Compare(got.text.String(), c.want)
	}
	return r
}

func (p *Player) attempt(ctx context.Context, r *judge.Record, c *call, got *progress, entry string) attemptResult {
	a := judge.Attempt{Entry: entry, Began: time.Now()}
	token := p.Tokens[c.line.Workspace]
	var e attemptResult
	if c.stream && got.requestID != "" {
		e = p.exchange.attach(ctx, entry, token, c, got)
	} else {
		e = p.exchange.submit(ctx, entry, token, c, got)
	}
	a.Ended, a.RequestID, a.Outcome, a.Reason = time.Now(), e.requestID, e.outcome, e.reason
	r.Attempts = append(r.Attempts, a)
	return e
}

// retryable reports whether another attempt is safe. After a lost connection it
// is safe if nothing was sent, if the client can re-attach to the stream, or if
// the request may be repeated or has a key.
func (e attemptResult) retryable(c *call, got *progress) bool {
	switch e.outcome {
	case outcome.NotRun:
		return true
	case outcome.None:
		attachable := c.stream && got.requestID != ""
		return e.notSent || attachable || !c.line.MayNotRepeat || c.line.IdempotencyKey != ""
	}
	return false
}

func (e attemptResult) retryDelay() time.Duration {
	if e.retryAfter > 0 {
		return min(e.retryAfter, maxRetryDelay)
	}
	return time.Duration(float64(defaultRetryDelay) * (0.5 + rand.Float64()))
}

// entry returns the index of the entry for the first attempt: round robin,
// except that a key that was sent before goes to another entry.
func (p *Player) entry(l *Line) int {
	pick := int(p.next.Add(1)-1) % len(p.Entries)
	if l.IdempotencyKey == "" {
		return pick
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := l.Workspace + "\x00" + l.IdempotencyKey
	if before, ok := p.firstEntry[key]; ok {
		return before + 1
	}
	p.firstEntry[key] = pick
	return pick
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
