// Package pause provides sleeps that end early when a context ends or a condition holds.
//
// # Usage
//
//	for pause.For(ctx, time.Second) {
//		poll()
//	}
package pause

import (
	"context"
	"time"
)

// For sleeps for d or until ctx is done, and reports whether ctx is still active.
// It returns immediately if d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// untilPoll is the interval at which Until checks its condition.
const untilPoll = 20 * time.Millisecond

// Until polls until a condition holds, for at most d, and reports whether it does.
func Until(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); ; time.Sleep(untilPoll) {
		if holds() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}
