package permit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Pacer enforces the limit and the pauses of a target on behalf of its only sender, which
// needs no permits. The zero value has neither.
type Pacer struct {
	limit    float64
	limited  bool
	lastSent time.Time
	// paused is until when the target accepts no requests.
	paused time.Time
}

// Pause records that the target asked for a pause.
func (p *Pacer) Pause(d time.Duration, now time.Time) {
	if until := now.Add(d); d > 0 && until.After(p.paused) {
		p.paused = until
	}
}

// Paused returns how long the target still accepts no requests; 0 if it accepts them.
func (p *Pacer) Paused(now time.Time) time.Duration { return max(p.paused.Sub(now), 0) }

// SetLimit sets the limit that a response names, in requests a second, or nil if it names
// none. It reports whether the limit has changed.
func (p *Pacer) SetLimit(limit *float64, now time.Time) bool {
	if limit == nil {
		changed := p.limited
		p.limited = false
		return changed
	}
	changed := !p.limited || p.limit != *limit
	if !p.limited {
		p.lastSent = now
	}
	p.limited, p.limit = true, *limit
	return changed
}

// ReadyAt returns when the target may be sent a request; zero if at any time.
func (p *Pacer) ReadyAt() time.Time {
	if !p.limited {
		return p.paused
	}
	at := p.lastSent.Add(time.Duration(float64(time.Second) / max(p.limit, minRate)))
	if at.Before(p.paused) {
		return p.paused
	}
	return at
}

// RecordSent records that a request is sent to the target.
func (p *Pacer) RecordSent(now time.Time) { p.lastSent = now }

// ParseLimit parses a limit in requests a second, a decimal number that is not negative. It
// returns nil for anything else.
func ParseLimit(s string) *float64 {
	f, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		return nil
	}
	return &f
}
