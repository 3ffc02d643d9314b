package main

import (
	"context"
	"errors"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/request/quarantine"
)

const (
	// isolatorTick is how often the isolator looks whether there is something to decide or
	// to write. It is a small part of the time in which all gateways are to know of a crash.
	isolatorTick = 100 * time.Millisecond
	// holdJitter spreads the gateways that have found out the same: one writes, the others
	// see it.
	holdJitter = 300 * time.Millisecond
	// writeWait is how long the store may take to answer a write, and writePause how long
	// the next one waits after a failure.
	writeTimeout    = 900 * time.Millisecond
	writeRetryDelay = 500 * time.Millisecond
	// trialSettles is how long it takes at most to know whether the target of a broken answer
	// has crashed.
	probeSettleTime = time.Second
	// maxUnwritten bounds what is kept for the store while it is away.
	maxUnwritten = 64
)

// changer is the part of the store that an isolator writes to.
type changer interface {
	Change(ctx context.Context, c kv.Change) (int64, error)
}

// isolator keeps requests that crash their targets from being sent. It tells the other
// gateways through the store what this one has seen, and takes what they have. It is safe
// for concurrent use.
type isolator struct {
	log      *slog.Logger
	store    changer
	instance string

	mu       sync.Mutex
	register *quarantine.Register
	// unwritten is what the other gateways are still to be told, and freed the holds that
	// are to be removed from the store.
	unwritten    quarantine.Report
	removedHolds []quarantine.Fingerprint
	// reports counts those that were written.
	reports int
}

func newIsolator(instance string, store changer, log *slog.Logger) *isolator {
	return &isolator{log: log, store: store, instance: instance, register: quarantine.New()}
}

// crashed takes a crash that this gateway has seen.
func (s *isolator) crashed(c quarantine.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := quarantine.Report{Crashes: []quarantine.Crash{c}}
	s.queueCompleted(s.register.Report(&r, time.Now()))
	if len(s.unwritten.Crashes) < maxUnwritten {
		s.unwritten.Crashes = append(s.unwritten.Crashes, c)
	}
}

// completed takes the word that a target has answered a request whole.
func (s *isolator) completed(p quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.register.Completed(p) {
		return
	}
	s.log.Info("request cleared", "print", p.Short(), "reason", "answered whole")
	s.queueCompleted([]quarantine.Fingerprint{p})
	if len(s.removedHolds) < maxUnwritten {
		s.removedHolds = append(s.removedHolds, p)
	}
}

// innocent has the other gateways told of requests that have been answered whole. It is
// called with the lock held.
func (s *isolator) queueCompleted(prints []quarantine.Fingerprint) {
	for _, p := range prints {
		if len(s.unwritten.Completed) < maxUnwritten {
			s.unwritten.Completed = append(s.unwritten.Completed, p)
		}
	}
}

// take takes what the store says under quarantine.Prefix.
func (s *isolator) apply(items []kv.Item, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	keys := map[string]bool{}
	for _, it := range items {
		keys[it.Key] = !it.Removed
		if it.Removed {
			if p, ok := s.register.Remove(it.Key); ok {
				s.log.Info("request cleared", "print", p.Short(), "reason", "its hold was removed")
				s.queueCompleted([]quarantine.Fingerprint{p})
			}
			continue
		}
		completed, err := s.register.Apply(it.Key, it.Revision, it.Value, now)
		if err != nil {
			s.log.Warn("item not understood", "key", it.Key, "revision", it.Revision, "error", err.Error())
		}
		s.queueCompleted(completed)
	}
	if whole {
		s.register.RetainOnly(keys)
	}
	s.show()
}

// show sets the metric of the requests that are held back. It is called with the lock held.
func (s *isolator) show() { metricHeld.Set(int64(s.register.Quarantined())) }

// holds reports whether any request is held back.
func (s *isolator) hasQuarantined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.Quarantined() > 0
}

// judge decides on a request that is about to be sent.
func (s *isolator) decide(p quarantine.Fingerprint) quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.Decide(p, time.Now())
}

// try reports whether this gateway is the one that sends a request that is held back to
// find out whether it still crashes targets. No other gateway does once the store has
// taken the word.
func (s *isolator) claimProbe(ctx context.Context, p quarantine.Fingerprint, v quarantine.Decision) bool {
	if !s.writeHold(ctx, p, v.Revision, v.Hold.WithProbe()) {
		return false
	}
	s.log.Info("request on trial", "print", p.Short(), "trials-before", v.Hold.Probes, "crashes", v.Hold.Crashes)
	return true
}

// tried waits for the word on the target of a trial without a whole answer. If it has not
// crashed, the trial has told nothing, and the next one need not wait.
func (s *isolator) concludeProbe(p quarantine.Fingerprint, before int) {
	pause.For(context.Background(), probeSettleTime)
	if s.crashes(p) > before {
		return
	}
	if v := s.decide(p); v.Quarantined && v.Revision > 0 {
		s.log.Info("trial has told nothing", "print", p.Short(), "trials", v.Hold.Probes)
		s.writeHold(context.Background(), p, v.Revision, v.Hold.WithInconclusiveProbe())
	}
}

// crashes returns how many targets have crashed while a request was under way.
func (s *isolator) crashes(p quarantine.Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.Crashes(p)
}

// hold writes that a request is held back over what stands in the store, and reports whether
// it did.
func (s *isolator) writeHold(ctx context.Context, p quarantine.Fingerprint, over int64, h quarantine.Hold) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := quarantine.HoldKey(p)
	revision, err := s.store.Change(ctx, kv.Change{
		Expect: []kv.Condition{{Key: key, Revision: over}},
		Puts:   []kv.Write{{Key: key, Value: h.Bytes()}},
	})
	if err != nil {
		s.logWriteError(err)
		return false
	}
	s.apply([]kv.Item{{Key: key, Value: h.Bytes(), Revision: revision}}, false)
	return true
}

// notWritten writes the line of a write that has failed; that another gateway was faster
// is none.
func (s *isolator) logWriteError(err error) {
	var status *kv.StatusError
	if errors.As(err, &status) && status.Conflict() {
		return
	}
	s.log.Warn("crashes not told", "error", err.Error())
}

// run decides and writes until the context ends.
func (s *isolator) run(ctx context.Context) {
	for pause.For(ctx, isolatorTick) {
		if !s.writeReport(ctx) {
			pause.For(ctx, writeRetryDelay)
		}
		s.writeHolds(ctx)
	}
}

// tell writes what the other gateways are still to be told. It reports false if the store
// has not taken it.
func (s *isolator) writeReport(ctx context.Context) bool {
	s.mu.Lock()
	report, removedHolds, surplus := s.unwritten, s.removedHolds, s.register.Surplus()
	s.mu.Unlock()
	if report.Empty() && len(removedHolds) == 0 {
		return true
	}
	change := kv.Change{Deletes: surplus}
	for _, p := range removedHolds[:min(len(removedHolds), kv.MaxChange/4)] {
		change.Deletes = append(change.Deletes, quarantine.HoldKey(p))
	}
	if !report.Empty() {
		change.Puts = []kv.Write{{Key: quarantine.ReportKey(s.instance, s.reports), Value: report.Bytes()}}
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := s.store.Change(ctx, change); err != nil {
		s.logWriteError(err)
		return false
	}
	s.reports++
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unwritten.Crashes = s.unwritten.Crashes[len(report.Crashes):]
	s.unwritten.Completed = s.unwritten.Completed[len(report.Completed):]
	s.removedHolds = s.removedHolds[min(len(removedHolds), kv.MaxChange/4):]
	return true
}

// holdBack holds back the requests that have been found to crash their targets.
func (s *isolator) writeHolds(ctx context.Context) {
	s.mu.Lock()
	due := s.register.PendingWrites(time.Now())
	s.show()
	s.mu.Unlock()
	if len(due) == 0 {
		return
	}
	pause.For(ctx, rand.N(holdJitter))
	for p, h := range due {
		if v := s.decide(p); v.Revision > 0 {
			continue // Another gateway has written it.
		}
		if s.writeHold(ctx, p, 0, h) {
			s.log.Warn("request held back", "print", p.Short(), "crashes", h.Crashes, "trial-soon", h.ProbeNow)
		}
	}
}

// metricHeld is how many requests are held back, and metricHeldCalls how many calls were
// refused for it.
var (
	metricHeld      = expvar.NewInt("requests-held-back")
	metricHeldCalls = expvar.NewInt("calls-held-back")
)
