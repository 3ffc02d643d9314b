package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/membership/health"
	"verbenashift/core/plumbing/buffers"
	"verbenashift/standin/scripted"
)

// endlessBody answers with a body that does not end.
func endlessBody(x *scripted.Exchange) {
	x.Write(scripted.Head(http.StatusOK, x.ID(), "Transfer-Encoding: chunked\r\n"))
	for part := strings.Repeat("x", 64<<10); !x.Ended(); {
		x.Chunk(part)
	}
}

// Guards against a target that is chosen again and again although its answers do not end.
func TestTargetOfEndlessAnswersIsAvoided(t *testing.T) {
	bad := scripted.Serve(t, endlessBody)
	sound := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(http.StatusOK, "whole") })
	r := newRig(t, routeOf(deployment.Safe), bad, sound)
	for range 60 {
		_, got := r.send()
		r.Equal(got.Status, http.StatusOK) // the other target runs it
		r.gateway.fleet.tick(time.Now())
	}
	r.True(total(bad) > 0)
	r.True(total(bad) < 10)
}

// stopsBeforeItsEnd answers with a beginning of a long body and nothing more.
func stopsBeforeItsEnd(x *scripted.Exchange) {
	x.Write(scripted.Head(http.StatusOK, x.ID(), fmt.Sprintf("Content-Length: %d\r\n", maxAnswer)) + strings.Repeat("x", smallPool))
	x.WaitForClose(time.Minute)
}

// Guards against losing the answers of sound targets while those of another one fill the room.
func TestAnswersOfSoundTargetsFindRoom(t *testing.T) {
	const body = smallPool / 2
	bad := []*scripted.Server{scripted.Serve(t, stopsBeforeItsEnd), scripted.Serve(t, stopsBeforeItsEnd), scripted.Serve(t, stopsBeforeItsEnd)}
	sound := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(http.StatusOK, strings.Repeat("x", body)) })
	route := routeOf(deployment.Unsafe)
	route.Timeout = 2 * time.Second
	r := newRig(t, route, append(bad, sound)...)
	r.gateway.answers = buffers.NewPool(4*smallPool, roomWait)
	status := map[string]int{}
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for range 40 {
		c := r.call()
		wg.Go(func() {
			got := c.Do(t.Context())
			mu.Lock()
			defer mu.Unlock()
			status[c.ID] = got.Status
		})
		time.Sleep(roomWait / 20)
	}
	wg.Wait()
	r.True(total(bad...) > 2) // more than there is room for
	for _, ran := range sound.Seen() {
		r.Equal(status[ran.ID()], http.StatusOK)
	}
	r.Equal(r.gateway.answers.Held(), int64(0))
}

// Guards against a stream that is broken off, although another target could resume it, because the room
// for an unfinished event was taken back.
func TestReclaimedStreamIsResumed(t *testing.T) {
	script := func(x *scripted.Exchange) {
		x.Stream()
		if x.Header.Get("Last-Event-Id") == "1" {
			x.Chunk(scripted.Event(2))
			x.End()
			return
		}
		x.Chunk(scripted.Event(1) + "id: 2\ndata: " + strings.Repeat("x", 2*eventsBuffer))
		x.WaitForClose(time.Minute)
	}
	r := newRig(t, routeOf(deployment.Stream), scripted.Serve(t, script), scripted.Serve(t, script))
	r.gateway.answers = buffers.NewPool(smallPool, shortWait)
	got := make(chan scripted.Answer, 1)
	go func() { got <- r.call().Do(t.Context()) }()
	for r.gateway.answers.Held() == 0 {
		time.Sleep(time.Millisecond)
	}
	for r.gateway.answers.Reclaimed() == 0 { // Others wait for room.
		other, err := r.gateway.answers.Reserve(t.Context(), reservedAnswer)
		if err == nil {
			defer other.Release()
		}
	}
	answer := <-got
	r.True(answer.Complete)
	r.Equal(answer.Body, scripted.Event(1)+scripted.Event(2))
}

// Guards against taking targets for broken because there was no room for their long heads.
func TestNoRoomForAHead(t *testing.T) {
	script := func(x *scripted.Exchange) {
		x.Write(scripted.Head(http.StatusOK, x.ID(), "Long: "+strings.Repeat("x", 8<<10)+"\r\nContent-Length: 0\r\n"))
	}
	r := newRig(t, routeOf(deployment.Unsafe), scripted.Serve(t, script), scripted.Serve(t, script))
	r.gateway.answers = buffers.NewPool(smallPool/2, shortWait) // less than a long head takes
	f := r.gateway.fleet
	for range 10 {
		_, got := r.send()
		r.Equal(got.Status, http.StatusBadGateway)
		f.tick(time.Now())
	}
	f.mu.Lock()
	for i := range 2 {
		r.Equal(f.monitor.State(i), health.Healthy)
	}
	f.mu.Unlock()
	r.gateway.answers = buffers.NewPool(8*smallPool, shortWait)
	_, got := r.send()
	r.Equal(got.Status, http.StatusOK)
	r.Equal(r.gateway.answers.Held(), int64(0))
}
