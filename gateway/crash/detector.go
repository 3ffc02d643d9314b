// Package crash detects which targets have crashed, and which requests were in progress
// there.
//
// A broken connection is weak evidence: a proxy, a failed link or a fault in a single answer
// can be the cause as well. So a Detector connects to the target's address. If the connection
// is refused, the process has ended, by a crash unless it had announced its shutdown. If the
// address does not answer at all, as that of an instance without power, the target has crashed
// once its entry is removed from the store. If the connection is accepted, the target is alive,
// unless the store soon shows that it has restarted: a process that restarts at once, or one
// behind a proxy, cannot be recognized by its address.
//
// # Usage
//
//	d := crash.New(tcp.Dial, serves, log, func(c quarantine.Crash) { report(c) })
//	d.AnswerBroken(target, request)     // an answer of the target broke off
//	d.Removed(target)                   // its entry was removed
//	d.Restarted(target)                 // its entry, or another one at its address, shows a later start
//	d.Tick(time.Now())                  // periodically
package crash

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/plumbing/pause"
	"verbenashift/core/request/quarantine"
	"verbenashift/gateway/upstream"
)

const (
	// checkDelay is the time between a broken answer and the check of the target's address:
	// a process that ends closes its connections and its listener one after the other.
	checkDelay = 50 * time.Millisecond
	// dialTimeout is how long the address may take to answer.
	dialTimeout = 500 * time.Millisecond
	// retention is how long a broken answer is kept until the store removes the target's
	// entry: three missed heartbeats, plus the time until a gateway observes the removal.
	retention = 10 * time.Second
	// listeningRetention is the same for a target that accepts connections: a restarted
	// server writes its entry when it starts.
	listeningRetention = 5 * time.Second
	// maxRequests bounds the requests that are stored per target.
	maxRequests = 64
	// maxLogged is how many of them a log line contains.
	maxLogged = 16
)

// Detector distinguishes crashed targets from broken connections. It is safe for concurrent use.
type Detector struct {
	dial upstream.Dialer
	// serves reports whether a target is registered with the given incarnation, and not
	// shutting down.
	serves  func(deployment.Target) bool
	onCrash func(quarantine.Crash)
	log     *slog.Logger

	mu      sync.Mutex
	suspect map[incarnation]*brokenAnswers
}

// incarnation identifies one incarnation of a target.
type incarnation struct {
	id        string
	startedAt int64
}

func incarnationOf(t deployment.Target) incarnation { return incarnation{t.ID, t.StartedAt} }

// brokenAnswers holds the answers of one target that broke off for no known reason yet.
type brokenAnswers struct {
	target deployment.Target
	// fresh lists the requests whose answers broke off after the target last accepted a
	// connection, earlier those whose answers broke off before that.
	fresh   []quarantine.Request
	earlier []broken
	last    time.Time
	// checking is set while the target's address is checked.
	checking bool
}

// broken is a request whose answer broke off.
type broken struct {
	request quarantine.Request
	at      time.Time
}

// expired reports whether all answers broke off too long ago to be attributed to a crash.
func (b *brokenAnswers) expired(now time.Time) bool {
	return !b.checking && now.Sub(b.last) > retention
}

// recent returns the requests that may have been in progress when a target restarted.
func (b *brokenAnswers) recent(now time.Time) []quarantine.Request {
	list := slices.Clone(b.fresh)
	for _, r := range b.earlier {
		if now.Sub(r.at) <= listeningRetention && len(list) < maxRequests && !contains(list, r.request) {
			list = append(list, r.request)
		}
	}
	return list
}

// contains reports whether a list has a request with the same content.
func contains(list []quarantine.Request, r quarantine.Request) bool {
	return slices.ContainsFunc(list, func(other quarantine.Request) bool { return other.Content == r.Content })
}

// New returns a Detector that calls onCrash for each crash that it detects.
func New(dial upstream.Dialer, serves func(deployment.Target) bool, log *slog.Logger, onCrash func(quarantine.Crash)) *Detector {
	return &Detector{dial: dial, serves: serves, log: log, onCrash: onCrash, suspect: map[incarnation]*brokenAnswers{}}
}

// AnswerBroken records that a target has broken off the answer to a request.
func (d *Detector) AnswerBroken(t deployment.Target, r quarantine.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	b := d.suspect[incarnationOf(t)]
	if b == nil || b.expired(now) {
		b = &brokenAnswers{target: t}
		d.suspect[incarnationOf(t)] = b
	}
	b.last = now
	if len(b.fresh) < maxRequests && !contains(b.fresh, r) {
		b.fresh = append(b.fresh, r)
	}
	if !b.checking {
		b.checking = true
		go d.checkAddress(b)
	}
}

// Refused records that a target's address refuses connections. A target that has announced its
// shutdown, or has removed its entry, has ended as planned.
func (d *Detector) Refused(t deployment.Target) {
	b := d.take(t)
	if b != nil && d.serves(t) {
		d.report(b, b.fresh, "nobody listens")
	}
}

// Removed records that a target's entry was removed from the store. Answers that broke off before
// it last accepted a connection are not attributed to that.
func (d *Detector) Removed(t deployment.Target) {
	if b := d.take(t); b != nil {
		d.report(b, b.fresh, "its entry has gone")
	}
}

// Restarted records that a target has restarted, according to the store.
func (d *Detector) Restarted(t deployment.Target) {
	if b := d.take(t); b != nil {
		d.report(b, b.recent(time.Now()), "it has started again")
	}
}

// take removes and returns the unattributed broken answers of a target.
func (d *Detector) take(t deployment.Target) *brokenAnswers {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.suspect[incarnationOf(t)]
	if b == nil {
		return nil
	}
	delete(d.suspect, incarnationOf(t))
	taken := *b
	taken.fresh, taken.earlier = slices.Clone(b.fresh), slices.Clone(b.earlier)
	return &taken
}

// Tick removes the answers that broke off long ago.
func (d *Detector) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, b := range d.suspect {
		if b.expired(now) {
			delete(d.suspect, key)
		}
	}
}

// checkAddress finds out whether the process of a target has ended.
func (d *Detector) checkAddress(b *brokenAnswers) {
	for {
		pause.For(context.Background(), checkDelay)
		d.mu.Lock()
		count := len(b.fresh)
		d.mu.Unlock()
		err := d.connect(b.target)
		switch {
		case err == nil:
			if d.recordListening(b, count) {
				return
			}
			continue // More answers have broken off in the meantime.
		case errors.Is(err, syscall.ECONNREFUSED):
			d.Refused(b.target)
		case !d.serves(b.target):
			d.Removed(b.target)
		}
		d.endCheck(b)
		return
	}
}

// connect opens a connection to a target and closes it.
func (d *Detector) connect(t deployment.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := d.dial(ctx, "tcp", t.Addr.String())
	if err != nil {
		return err
	}
	// The connection was only opened to test the address.
	_ = conn.Close()
	return nil
}

// recordListening records that a target accepts connections after count of its fresh broken
// answers, and reports whether these were all.
func (d *Detector) recordListening(b *brokenAnswers, count int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	b.earlier = slices.DeleteFunc(b.earlier, func(r broken) bool { return now.Sub(r.at) > listeningRetention })
	for _, p := range b.fresh[:count] {
		if len(b.earlier) < maxRequests {
			b.earlier = append(b.earlier, broken{p, now})
		}
	}
	b.fresh = slices.Delete(b.fresh, 0, count)
	b.checking = len(b.fresh) > 0
	return !b.checking
}

// endCheck records that the check of a target's address has ended.
func (d *Detector) endCheck(b *brokenAnswers) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.checking = false
}

// report reports the crash of a target, if it has broken off answers.
func (d *Detector) report(b *brokenAnswers, requests []quarantine.Request, how string) {
	if len(requests) == 0 {
		return
	}
	t := b.target
	c := quarantine.Crash{Target: t.ID, StartedAt: t.StartedAt, Service: t.Service}
	for _, r := range requests {
		c.Add(r)
	}
	d.log.Warn("target crashed", "target", t.ID, "service", t.Service, "addr", t.Addr.String(), "born", t.StartedAt,
		"how", how, "broken-off", len(requests), "prints", short(requests), "after-ms", time.Since(b.last).Milliseconds())
	d.onCrash(c)
}

// short returns the shortened fingerprints for a log line, at most maxLogged of them, with those of
// the parts of each request.
func short(requests []quarantine.Request) []string {
	texts := make([]string, 0, maxLogged)
	for _, r := range requests[:min(len(requests), maxLogged)] {
		texts = append(texts, strings.Join(append([]string{r.Content.Short()}, r.ShortParts()...), "/"))
	}
	return texts
}
