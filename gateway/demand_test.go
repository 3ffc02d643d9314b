package main

import (
	"bytes"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/eventlog"
	"verbenashift/core/plumbing/logreader"
	"verbenashift/core/request/admission"
)

// sharingAdmitter returns an admitter with a group "g" of 40 slots, and requests of three classes.
func sharingAdmitter(log *slog.Logger) *admitter {
	a := newAdmitter("models", log)
	a.resize(map[string]int{"g": 40})
	a.setClasses(3)
	a.reportLoad(admission.Load{Group: "g", Complete: true, Running: 40, Entries: 2})
	return a
}

// Guards against reports where all requests are of one class: other deployments send what they sent.
func TestOneClassIsNotReported(t *testing.T) {
	is := is.New(t)
	a := sharingAdmitter(slog.New(slog.DiscardHandler))
	g := &gateway{admitters: map[string]*admitter{"models": a}}
	is.True(g.demand("g") != nil)
	is.True(g.demand("other") == nil)
	a.setClasses(1)
	is.True(g.demand("g") == nil)
	is.True(newDigests("front-1", a.log, nil).demand("g") == nil)
}

// Guards against requests that wait here and are unknown to the other gateways.
func TestDemandIsReportedByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := sharingAdmitter(slog.New(slog.DiscardHandler))
		g := &gateway{admitters: map[string]*admitter{"models": a}}
		var callers []*call
		for _, class := range []int{2, 0, 0, 2, 2} {
			c := caller(false)
			c.class = class
			callers = append(callers, c)
		}
		results := acquireAll(t.Context(), a, callers...)
		// Each gateway may have one request at a full group.
		is.Equal(*g.demand("g"), rankpeer.Classes{Waiting: []uint32{2, 0, 2}, Running: []uint32{0, 0, 1}, Usable: 40})
		time.Sleep(10 * time.Second)
		a.tick()
		for _, r := range results {
			<-r
		}
		is.Equal(*g.demand("g"), rankpeer.Classes{Running: []uint32{0, 0, 1}, Usable: 40})
	})
}

// Guards against a false report that operators do not see, and against a line for each digest.
func TestDemandThatIsNotUsedIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log, stop := eventlog.New(&out, "gateway", "front-1", slog.LevelInfo)
		a := sharingAdmitter(log)
		for range 10 {
			sums := &rankpeer.ClassSums{Classes: rankpeer.Classes{Waiting: []uint32{0, 0, 0, 0, 5}, Running: []uint32{9000}}, Gateways: 2}
			a.reportDigest(&rankpeer.Digest{Classes: sums}, time.Now(), admission.Load{Group: "g", Complete: true, Running: 20, Entries: 2})
			time.Sleep(digestInterval)
		}
		time.Sleep(20 * time.Second)
		sums := &rankpeer.ClassSums{Classes: rankpeer.Classes{Running: []uint32{20}}, Gateways: 2}
		a.reportDigest(&rankpeer.Digest{Classes: sums}, time.Now(), admission.Load{Group: "g", Complete: true, Running: 20, Entries: 2})
		stop()
		var got []string
		for _, l := range logreader.Read(&out) {
			got = append(got, l.Message)
		}
		is.Equal(got, []string{"requests of a class that is not known here", "demand of all gateways not used", "demand of all gateways used again"})
	})
}
