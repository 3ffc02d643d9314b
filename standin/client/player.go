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
	// defaultWait is the mean time before another attempt when the entry
	// names none.
	defaultWait = 50 * time.Millisecond
	maxWait     = 5 * time.Second
)

// Player plays a closing against entries.
type Player struct {
	Entries []string
	// Tokens holds each workspace's token.
	Tokens map[string]string
	// Attempts bounds the attempts of one request.
	Attempts int
	// Timeout bounds the time of one request with all its attempts.
	Timeout time.Duration
	// Rate is how many requests begin in a second; 0 means as fast as
	// Concurrency allows.
	Rate        float64
	Concurrency int

	x    *exchanger
	next atomic.Uint64
	mu   sync.Mutex
	// used holds the entry at which a key was first sent, so that a request
	// that repeats the key begins at another.
	used map[string]int
}

// Play sends every line and returns one record a line, in their order.
func (p *Player) Play(ctx context.Context, lines []Line) []judge.Record {
	p.x = newExchanger(p.Concurrency)
	p.used = make(map[string]int)
	records := make([]judge.Record, len(lines))
	pace := rate.NewLimiter(rate.Inf, 1)
	if p.Rate > 0 {
		pace = rate.NewLimiter(rate.Limit(p.Rate), 1)
	}
	slots := make(chan struct{}, p.Concurrency)
	var all sync.WaitGroup
	for i := range lines {
		slots <- struct{}{}
		if pace.Wait(ctx) != nil {
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

func newRecord(l *Line) judge.Record {
	return judge.Record{
		Line: l.Number, Workspace: l.Workspace, Class: l.Class,
		IdempotencyKey: l.IdempotencyKey, MayNotRepeat: l.MayNotRepeat,
	}
}

// request brings one line to its final answer.
func (p *Player) request(ctx context.Context, l *Line) judge.Record {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	r, c := newRecord(l), newCall(l)
	var got progress
	began := time.Now()
	first := p.entry(l)
	for n := range p.Attempts {
		e := p.attempt(ctx, &r, c, &got, p.Entries[(first+n)%len(p.Entries)])
		r.Outcome = e.outcome
		if !e.again(c, &got) || n+1 == p.Attempts {
			break
		}
		if !e.handover && !sleep(ctx, e.wait()) {
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

func (p *Player) attempt(ctx context.Context, r *judge.Record, c *call, got *progress, entry string) ending {
	a := judge.Attempt{Entry: entry, Began: time.Now()}
	token := p.Tokens[c.line.Workspace]
	var e ending
	if c.stream && got.requestID != "" {
		e = p.x.attach(ctx, entry, token, c, got)
	} else {
		e = p.x.submit(ctx, entry, token, c, got)
	}
	a.Ended, a.RequestID, a.Outcome, a.Reason = time.Now(), e.requestID, e.outcome, e.reason
	r.Attempts = append(r.Attempts, a)
	return e
}

// again reports whether another attempt is safe. After a lost connection it
// is, if nothing was sent, if the stream can be re-attached to, or if the
// request may be repeated or has a key.
func (e ending) again(c *call, got *progress) bool {
	switch e.outcome {
	case outcome.NotRun:
		return true
	case outcome.None:
		attachable := c.stream && got.requestID != ""
		return e.notSent || attachable || !c.line.MayNotRepeat || c.line.IdempotencyKey != ""
	}
	return false
}

func (e ending) wait() time.Duration {
	if e.retryAfter > 0 {
		return min(e.retryAfter, maxWait)
	}
	return time.Duration(float64(defaultWait) * (0.5 + rand.Float64()))
}

// entry picks where a request begins: round robin, but a key that was sent
// before goes to another entry.
func (p *Player) entry(l *Line) int {
	pick := int(p.next.Add(1)-1) % len(p.Entries)
	if l.IdempotencyKey == "" {
		return pick
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := l.Workspace + "\x00" + l.IdempotencyKey
	if before, ok := p.used[key]; ok {
		return before + 1
	}
	p.used[key] = pick
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
