package main

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/route"
)

// Guards against requests to a target that has requested a pause, also when it is
// the only one, and against a pause that lasts longer than requested.
func TestPausedTargetGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(route.Options{Entry: "entry-1"}, slog.New(slog.DiscardHandler))
		r.update(config.NewIndex(config.Config{Targets: []config.Target{{Name: "desk-1", Service: "desk"}}}))
		pick := func() (choice, bool) { return r.pick(&route.Query{Service: "desk", Cost: 1}) }
		c, ok := pick()
		is.True(ok)
		r.end(c, result{pause: pauseOf(&wire.Frame{Reason: peer.ReasonPaused, RetryAfterMs: 3000})})
		_, ok = pick()
		is.True(!ok)
		is.Equal(r.retryAfter(), 3*time.Second)
		time.Sleep(3 * time.Second)
		_, ok = pick()
		is.True(ok)
		is.Equal(r.retryAfter(), time.Duration(0))
	})
}
