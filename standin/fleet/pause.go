package fleet

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// pause makes a server refuse requests and send Retry-After with a span; it sends none
// if the span is 0. The zero value refuses nothing.
type pause struct {
	mu   sync.Mutex
	on   bool
	span time.Duration
	// refusals and arrivals are by gateway.
	refusals, arrivals map[string][]time.Time
}

// refuses counts a request of a gateway, and reports whether the server refuses it. It
// sets the Retry-After header of the refusal.
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

// set makes the server refuse requests and send Retry-After, or accept requests again.
func (p *pause) set(on bool, span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.on, p.span = on, span
	if p.arrivals == nil {
		p.refusals, p.arrivals = map[string][]time.Time{}, map[string][]time.Time{}
	}
}

// peak returns the maximum number of requests that one gateway sent during a pause,
// counted from grace after the refusal that started it, and the number of refusals.
func (p *pause) peak(grace time.Duration) (peak, refused int) {
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
			peak = max(peak, n)
		}
	}
	return peak, refused
}

// Pause makes a plain server refuse all requests and send Retry-After with span, or
// accept requests again.
func (f *Fleet) Pause(plain int, on bool, span time.Duration) { f.plains[plain].pause.set(on, span) }

// PauseRank is Pause for a model server.
func (f *Fleet) PauseRank(rank int, on bool, span time.Duration) { f.models[rank].pause.set(on, span) }

// PeakDuringPause returns the maximum number of requests that a plain server got from
// one gateway during a pause, counted from grace after the refusal that started it,
// and the number of refusals.
func (f *Fleet) PeakDuringPause(plain int, grace time.Duration) (peak, refused int) {
	return f.plains[plain].pause.peak(grace)
}

// PeakDuringRankPause is PeakDuringPause for a model server.
func (f *Fleet) PeakDuringRankPause(rank int, grace time.Duration) (peak, refused int) {
	return f.models[rank].pause.peak(grace)
}
