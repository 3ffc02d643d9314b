// Package crash finds out which targets have crashed, and which requests broke off with
// them.
//
// A connection that breaks says little: a proxy, a lost link or a fault in a single answer
// break it as well. So a Detector asks: if nobody listens at the target's address, its
// process has ended, by a crash if it had not said that it would. Where the address does not
// answer at all, as that of an instance without power, the word of the store decides, once
// the target's entry has gone. Where somebody listens, the target lives, unless the store
// soon tells that it has started again: a process that is back at once, or one behind a
// proxy, is not told by its address.
//
// # Usage
//
//	d := crash.New(tcp.Dial, serves, log, func(c quarantine.Crash) { report(c) })
//	d.AnswerBroken(target, print) // an answer of the target broke off
//	d.Removed(target)       // its entry was removed
//	d.Restarted(target)     // its entry, or another one at its address, tells of a later start
//	d.Tick(time.Now())      // now and then
package crash

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/request/quarantine"
	"verbenashift/gateway/upstream"
)

const (
	// settle is how long after a broken answer the target is asked: a process that ends
	// closes its connections and its listener one after the other.
	settle = 50 * time.Millisecond
	// answerWait is how long its address may take to answer.
	answerWait = 500 * time.Millisecond
	// memory is for how long a broken answer waits for the store's word: three missed
	// heartbeats of the target, and the time in which a gateway hears of them.
	memory = 10 * time.Second
	// livingMemory is the same for one of a target that somebody listens for: a server that has
	// started again writes its entry when it starts.
	livingMemory = 5 * time.Second
	// maxRequests bounds the requests that are remembered of one target.
	maxRequests = 64
	// maxLogged is how many of them a line has.
	maxLogged = 16
)

// Detector tells crashed targets from broken connections. It is safe for concurrent use.
type Detector struct {
	dial upstream.Dialer
	// serves reports whether a target is registered in the life that was given, and not
	// about to leave.
	serves func(deployment.Target) bool
	ended  func(quarantine.Crash)
	log    *slog.Logger

	mu      sync.Mutex
	suspect map[life]*breaks
}

// life is one life of a target.
type life struct {
	id   string
	born int64
}

func lifeOf(t deployment.Target) life { return life{t.ID, t.Born} }

// breaks are the answers of one target that broke off and are not accounted for.
type breaks struct {
	target deployment.Target
	// fresh have broken off since somebody was last seen to listen for the target, before
	// those that had broken off until then.
	fresh  []quarantine.Fingerprint
	before []broken
	last   time.Time
	// asking says that its address is being asked.
	asking bool
}

// broken is a request whose answer broke off.
type broken struct {
	request quarantine.Fingerprint
	at      time.Time
}

// over reports whether all answers have broken off too long ago to be accounted for.
func (b *breaks) over(now time.Time) bool { return !b.asking && now.Sub(b.last) > memory }

// recent returns the requests that may have been under way when a target started again.
func (b *breaks) recent(now time.Time) []quarantine.Fingerprint {
	list := slices.Clone(b.fresh)
	for _, r := range b.before {
		if now.Sub(r.at) <= livingMemory && len(list) < maxRequests && !slices.Contains(list, r.request) {
			list = append(list, r.request)
		}
	}
	return list
}

// New returns a Detector that hands on each crash that it has found.
func New(dial upstream.Dialer, serves func(deployment.Target) bool, log *slog.Logger, ended func(quarantine.Crash)) *Detector {
	return &Detector{dial: dial, serves: serves, log: log, ended: ended, suspect: map[life]*breaks{}}
}

// AnswerBroken takes the word that a target has broken off the answer to a request.
func (d *Detector) AnswerBroken(t deployment.Target, p quarantine.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	b := d.suspect[lifeOf(t)]
	if b == nil || b.over(now) {
		b = &breaks{target: t}
		d.suspect[lifeOf(t)] = b
	}
	b.last = now
	if len(b.fresh) < maxRequests && !slices.Contains(b.fresh, p) {
		b.fresh = append(b.fresh, p)
	}
	if !b.asking {
		b.asking = true
		go d.ask(b)
	}
}

// Refused takes the word that nobody listens at a target's address. One that has said that
// it leaves, or has taken its entry back, has ended as planned.
func (d *Detector) Refused(t deployment.Target) {
	b := d.take(t)
	if b != nil && d.serves(t) {
		d.tell(b, b.fresh, "nobody listens")
	}
}

// Removed takes the word of the store that a target's entry has gone. What had broken off while
// somebody listened for it has nothing to do with that.
func (d *Detector) Removed(t deployment.Target) {
	if b := d.take(t); b != nil {
		d.tell(b, b.fresh, "its entry has gone")
	}
}

// Restarted takes the word of the store that a target has started again since.
func (d *Detector) Restarted(t deployment.Target) {
	if b := d.take(t); b != nil {
		d.tell(b, b.recent(time.Now()), "it has started again")
	}
}

// take returns what is not accounted for of a target, and forgets it.
func (d *Detector) take(t deployment.Target) *breaks {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.suspect[lifeOf(t)]
	if b == nil {
		return nil
	}
	delete(d.suspect, lifeOf(t))
	taken := *b
	taken.fresh, taken.before = slices.Clone(b.fresh), slices.Clone(b.before)
	return &taken
}

// Tick forgets the answers that broke off long ago.
func (d *Detector) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, b := range d.suspect {
		if b.over(now) {
			delete(d.suspect, key)
		}
	}
}

// ask finds out whether the process of a target has ended.
func (d *Detector) ask(b *breaks) {
	for {
		pause.For(context.Background(), settle)
		d.mu.Lock()
		count := len(b.fresh)
		d.mu.Unlock()
		err := d.connect(b.target)
		switch {
		case err == nil:
			if d.answered(b, count) {
				return
			}
			continue // More answers have broken off meanwhile.
		case errors.Is(err, syscall.ECONNREFUSED):
			d.Refused(b.target)
		case !d.serves(b.target):
			d.Removed(b.target)
		}
		d.asked(b)
		return
	}
}

// connect opens a connection to a target and closes it.
func (d *Detector) connect(t deployment.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), answerWait)
	defer cancel()
	conn, err := d.dial(ctx, "tcp", t.Addr.String())
	if err != nil {
		return err
	}
	// It has told what it was opened for.
	_ = conn.Close()
	return nil
}

// answered records that somebody listens for a target after so many of its broken answers,
// and reports whether that were all.
func (d *Detector) answered(b *breaks, count int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	b.before = slices.DeleteFunc(b.before, func(r broken) bool { return now.Sub(r.at) > livingMemory })
	for _, p := range b.fresh[:count] {
		if len(b.before) < maxRequests {
			b.before = append(b.before, broken{p, now})
		}
	}
	b.fresh = slices.Delete(b.fresh, 0, count)
	b.asking = len(b.fresh) > 0
	return !b.asking
}

// asked records that a target's address was asked and that nothing more is known by that.
func (d *Detector) asked(b *breaks) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.asking = false
}

// tell hands on the crash of a target, if answers broke off with it.
func (d *Detector) tell(b *breaks, requests []quarantine.Fingerprint, how string) {
	if len(requests) == 0 {
		return
	}
	t := b.target
	d.log.Warn("target crashed", "target", t.ID, "service", t.Service, "addr", t.Addr.String(), "born", t.Born,
		"how", how, "broken-off", len(requests), "prints", short(requests), "after-ms", time.Since(b.last).Milliseconds())
	d.ended(quarantine.Crash{Target: t.ID, StartedAt: t.Born, Requests: requests})
}

// short returns the beginnings of some fingerprints for a line.
func short(prints []quarantine.Fingerprint) []string {
	texts := make([]string, 0, maxLogged)
	for _, p := range prints[:min(len(prints), maxLogged)] {
		texts = append(texts, p.Short())
	}
	return texts
}
