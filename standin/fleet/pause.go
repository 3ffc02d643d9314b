package fleet

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// pause is a server that refuses what comes and asks to be left alone for a span; 0 for not
// asking. The zero value refuses nothing.
type pause struct {
	mu   sync.Mutex
	on   bool
	span time.Duration
	// refusals and arrivals are by gateway.
	refusals, arrivals map[string][]time.Time
}

// refuses counts a request of a gateway, and reports whether the server refuses it. It sets
// the header of the refusal.
func (p *pause) refuses(front string, h http.Header) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.arrivals == nil {
		return false
	}
	now := time.Now()
	p.arrivals[front] = append(p.arrivals[front], now)
	if !p.on {
		return false
	}
	p.refusals[front] = append(p.refusals[front], now)
	if p.span > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.span.Seconds(), 'f', -1, 64))
	}
	return true
}

// set has the server refuse and ask for a pause, or take requests again.
func (p *pause) set(on bool, span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.on, p.span = on, span
	if p.arrivals == nil {
		p.refusals, p.arrivals = map[string][]time.Time{}, map[string][]time.Time{}
	}
}

// most returns the most requests that one gateway has sent within a pause, later than a grace
// after it was asked for, and how many refusals there were.
func (p *pause) most(grace time.Duration) (most, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for front, refusals := range p.refusals {
		refused += len(refusals)
		for _, at := range refusals {
			n := 0
			for _, came := range p.arrivals[front] {
				if came.After(at.Add(grace)) && came.Before(at.Add(p.span)) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most, refused
}

// Pause has a plain server refuse everything and ask for a pause, or take requests again.
func (f *Fleet) Pause(plain int, on bool, span time.Duration) { f.plains[plain].pause.set(on, span) }

// PauseRank is the same for a model server.
func (f *Fleet) PauseRank(rank int, on bool, span time.Duration) { f.models[rank].pause.set(on, span) }

// PeakDuringPause returns the most requests that a plain server got from one gateway within a pause
// that it had asked for, later than a grace, and how many it has refused.
func (f *Fleet) PeakDuringPause(plain int, grace time.Duration) (most, refused int) {
	return f.plains[plain].pause.most(grace)
}

// PeakDuringRankPause is the same for a model server.
func (f *Fleet) PeakDuringRankPause(rank int, grace time.Duration) (most, refused int) {
	return f.models[rank].pause.most(grace)
}
