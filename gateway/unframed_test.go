package main

import (
	"strings"
	"sync"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/standin/scripted"
)

// Guards against losing or cutting answers that end with their connection, against passing on broken
// ones as complete, and against using such a connection again.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const text = "text/plain"
	for name, tt := range map[string]struct {
		kind deployment.RouteKind
		// first answers the first attempt; others get whole answers with a length or chunks.
		first func(x *scripted.Exchange)
		body  string
		// attempts is how many attempts it takes.
		attempts int
	}{
		"plain": {deployment.Unsafe, func(x *scripted.Exchange) {
			x.Unframed(text)
			x.Write("all ")
			time.Sleep(20 * time.Millisecond)
			x.Write("of it")
			x.Close()
		}, "all of it", 1},
		"empty": {deployment.Unsafe, func(x *scripted.Exchange) {
			x.Unframed(text)
			x.Close()
		}, "", 1},
		"plain, reset": {deployment.Safe, func(x *scripted.Exchange) {
			x.Unframed(text)
			x.Write("all ")
			time.Sleep(20 * time.Millisecond)
			x.Reset()
		}, "whole", 2},
		"stream": {deployment.Stream, func(x *scripted.Exchange) {
			x.Unframed("text/event-stream")
			x.Write(scripted.Event(1) + "id: 2\n")
			time.Sleep(20 * time.Millisecond)
			x.Write("data: part 2\n\n")
			x.Close()
		}, scripted.Event(1) + scripted.Event(2), 1},
		"stream, ends in an event": {deployment.Stream, func(x *scripted.Exchange) {
			x.Unframed("text/event-stream")
			x.Write(scripted.Event(1) + "id: 2\nda")
			x.Close()
		}, scripted.Event(1) + scripted.Event(2) + scripted.Event(3), 2},
		"stream, reset after an event": {deployment.Stream, func(x *scripted.Exchange) {
			x.Unframed("text/event-stream")
			x.Write(scripted.Event(1))
			time.Sleep(20 * time.Millisecond)
			x.Reset()
		}, scripted.Event(1) + scripted.Event(2) + scripted.Event(3), 2},
	} {
		t.Run(name, func(t *testing.T) {
			attempts := make(chan struct{}, 8)
			script := func(x *scripted.Exchange) {
				attempts <- struct{}{}
				switch {
				case len(attempts) == 1:
					tt.first(x)
				case tt.kind == deployment.Stream:
					x.Stream()
					x.Chunk(scripted.Event(2))
					x.Chunk(scripted.Event(3))
					x.End()
				default:
					x.Respond(200, "whole")
				}
			}
			a, b := scripted.Serve(t, script), scripted.Serve(t, script)
			r := newRig(t, routeOf(tt.kind), a, b)
			c, got := r.send()
			r.Equal(got.Status, 200)
			r.True(got.Complete)
			r.True(got.Sealed(c.ID))
			r.Equal(got.Body, tt.body)
			r.Equal(total(a, b), tt.attempts)
		})
	}
}

// Guards against a broken answer that looks complete because it had no length, where it may not be
// repeated.
func TestResetAnswerWithoutALengthIsNotComplete(t *testing.T) {
	reset := func(x *scripted.Exchange) {
		x.Unframed("text/plain")
		x.Write("half")
		time.Sleep(20 * time.Millisecond)
		x.Reset()
	}
	r := newRig(t, routeOf(deployment.Unsafe), scripted.Serve(t, reset))
	_, got := r.send()
	r.Equal(got.Status, 502)
}

// earlyPlays is how often the race of a reset with an upload is played.
const earlyPlays = 10

// Guards against a part of an answer that looks complete because its server answered early, without a
// length, and reset the connection while the request was still being written.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	const whole = "whole"
	for name, tt := range map[string]struct {
		kind              deployment.RouteKind
		contentType, part string
		status            int
		body              string
		// attempts is how many attempts each request takes.
		attempts int
	}{
		"may not be repeated": {deployment.Unsafe, "text/plain", "part", 502, "", 1},
		"may be repeated":     {deployment.Safe, "text/plain", "part", 200, whole, 2},
		"stream":              {deployment.Stream, "text/event-stream", scripted.Event(1), 200, scripted.Event(1) + scripted.Event(2), 2},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			begun := map[string]bool{}
			script := func(x *scripted.Exchange) {
				mu.Lock()
				again := begun[x.ID()]
				begun[x.ID()] = true
				mu.Unlock()
				if !again {
					x.Unframed(tt.contentType)
					x.Write(tt.part)
					time.Sleep(10 * time.Millisecond)
					x.Reset()
					return
				}
				x.ReadBody()
				if tt.kind == deployment.Stream {
					x.Stream()
					x.Chunk(scripted.Event(2))
					x.End()
					return
				}
				x.Respond(200, whole)
			}
			a, b := scripted.Serve(t, script), scripted.Serve(t, script)
			r := newRig(t, routeOf(tt.kind), a, b)
			r.view.Config.Limits.BodyBytes = 8 << 20
			for range earlyPlays {
				c := r.call()
				c.Header = scripted.ReadLate()
				c.Body = strings.Repeat("x", 8<<20)
				got := c.Do(t.Context())
				r.Equal(got.Status, tt.status)
				r.Equal(got.Body, tt.body)
			}
			r.Equal(total(a, b), earlyPlays*tt.attempts)
		})
	}
}
