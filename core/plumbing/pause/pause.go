// Package pause waits for a time that the end of a context cuts short.
//
// # Usage
//
//	for pause.For(ctx, time.Second) {
//		look()
//	}
package pause

import (
	"context"
	"time"
)

// For waits and reports whether the context still goes on. It returns at once
// where d is not positive.
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

// untilPoll is how often Until looks.
const untilPoll = 20 * time.Millisecond

// Until waits until a condition holds, for at most d, and reports whether it does.
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
