// Package crash finds out which targets have crashed, and which requests broke off with
// them.
//
// A connection that breaks says little: a proxy, a lost link or a fault in a single answer
// break it as well. So a Detector asks: if nobody listens at the target's address, its
// process has ended, by a crash if it had not said that it would. Where the address does not
// answer at all, as that of an instance without power, the word of the store decides, once
// the target's entry has gone.
//
// # Usage
//
//	d := crash.New(tcp.Dial, serves, log, func(c quarantine.Crash) { report(c) })
//	d.Broke(target, print)  // an answer of the target broke off
//	d.Gone(target)          // its entry has gone, or tells of a later start
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
	target   deployment.Target
	requests []quarantine.Print
	last     time.Time
	// asking says that its address is being asked.
	asking bool
}

// New returns a Detector that hands on each crash that it has found.
func New(dial upstream.Dialer, serves func(deployment.Target) bool, log *slog.Logger, ended func(quarantine.Crash)) *Detector {
	return &Detector{dial: dial, serves: serves, log: log, ended: ended, suspect: map[life]*breaks{}}
}

// Broke takes the word that a target has broken off the answer to a request.
func (d *Detector) Broke(t deployment.Target, p quarantine.Print) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.suspect[lifeOf(t)]
	if b == nil {
		b = &breaks{target: t}
		d.suspect[lifeOf(t)] = b
	}
	b.last = time.Now()
	if len(b.requests) < maxRequests && !slices.Contains(b.requests, p) {
		b.requests = append(b.requests, p)
	}
	if !b.asking {
		b.asking = true
		go d.ask(b)
	}
}

// Refused takes the word that nobody listens at a target's address. One that has said that
// it leaves, or has taken its entry back, has ended as planned.
func (d *Detector) Refused(t deployment.Target) {
	if d.serves(t) {
		d.crashed(lifeOf(t), "nobody listens")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspect, lifeOf(t))
}

// Gone takes the word of the store that a target's life is over.
func (d *Detector) Gone(t deployment.Target) { d.crashed(lifeOf(t), "its entry has gone") }

// Tick forgets the answers that broke off long ago.
func (d *Detector) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, b := range d.suspect {
		if !b.asking && now.Sub(b.last) > memory {
			delete(d.suspect, key)
		}
	}
}

// ask finds out whether the process of a target has ended.
func (d *Detector) ask(b *breaks) {
	for {
		pause.For(context.Background(), settle)
		d.mu.Lock()
		before := len(b.requests)
		d.mu.Unlock()
		err := d.connect(b.target)
		switch {
		case err == nil:
			if d.lives(b, before) {
				return
			}
			continue // More answers have broken off meanwhile.
		case errors.Is(err, syscall.ECONNREFUSED):
			d.Refused(b.target)
		case !d.serves(b.target):
			d.Gone(b.target)
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

// lives records that a target lives after so many of its broken answers, and reports
// whether that were all.
func (d *Detector) lives(b *breaks, count int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.requests = slices.Clone(b.requests[min(count, len(b.requests)):])
	if len(b.requests) > 0 {
		return false
	}
	b.asking = false
	if d.suspect[lifeOf(b.target)] == b {
		delete(d.suspect, lifeOf(b.target))
	}
	return true
}

// asked records that a target's address was asked and that nothing more is known by that.
func (d *Detector) asked(b *breaks) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.asking = false
}

// crashed hands on the crash of a target, if answers broke off with it.
func (d *Detector) crashed(key life, how string) {
	d.mu.Lock()
	b := d.suspect[key]
	if b == nil {
		d.mu.Unlock()
		return
	}
	delete(d.suspect, key)
	requests, last := slices.Clone(b.requests), b.last
	d.mu.Unlock()
	d.log.Warn("target crashed", "target", key.id, "service", b.target.Service, "addr", b.target.Addr.String(), "born", key.born,
		"how", how, "broken-off", len(requests), "prints", short(requests), "after-ms", time.Since(last).Milliseconds())
	d.ended(quarantine.Crash{Target: key.id, Born: key.born, Requests: requests})
}

// short returns the beginnings of some fingerprints for a line.
func short(prints []quarantine.Print) []string {
	texts := make([]string, 0, maxLogged)
	for _, p := range prints[:min(len(prints), maxLogged)] {
		texts = append(texts, p.Short())
	}
	return texts
}
