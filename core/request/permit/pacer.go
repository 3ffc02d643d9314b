package permit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Pacer keeps to the limit and the pauses of a target on behalf of its only sender, which needs
// no permits. The zero value knows of none.
type Pacer struct {
	limit   float64
	limited bool
	last    time.Time
	// paused is until when the target wants nothing.
	paused time.Time
}

// Pause takes the word of the target that it wants nothing for a time.
func (p *Pacer) Pause(d time.Duration, now time.Time) {
	if until := now.Add(d); d > 0 && until.After(p.paused) {
		p.paused = until
	}
}

// Paused returns for how long the target wants nothing; 0 if it takes requests.
func (p *Pacer) Paused(now time.Time) time.Duration { return max(p.paused.Sub(now), 0) }

// SetLimit takes the limit that an answer names, in requests a second, or nil if it names none.
// It reports whether the limit has changed.
func (p *Pacer) SetLimit(limit *float64, now time.Time) bool {
	if limit == nil {
		changed := p.limited
		p.limited = false
		return changed
	}
	changed := !p.limited || p.limit != *limit
	if !p.limited {
		p.last = now
	}
	p.limited, p.limit = true, *limit
	return changed
}

// ReadyAt returns when the target may be sent a request; zero if at any time.
func (p *Pacer) ReadyAt() time.Time {
	if !p.limited {
		return p.paused
	}
	at := p.last.Add(time.Duration(float64(time.Second) / max(p.limit, leastRate)))
	if at.Before(p.paused) {
		return p.paused
	}
	return at
}

// RecordSent counts a request that the target is sent.
func (p *Pacer) RecordSent(now time.Time) { p.last = now }

// ParseLimit decodes a limit in requests a second, a decimal number that is not negative. It
// returns nil for anything else.
func ParseLimit(s string) *float64 {
	f, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		return nil
	}
	return &f
}
