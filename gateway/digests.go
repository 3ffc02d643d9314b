package main

import (
	"context"
	"expvar"
	"log/slog"
	"sync"
	"time"

	"verbenashift/core/lockstep"
	"verbenashift/core/mirror"
	"verbenashift/core/pause"
	"verbenashift/core/rankpeer"
	"verbenashift/platform"
)

const (
	// digestEvery is how often a gateway asks a steward: about as often as the
	// steward looks.
	digestEvery = 200 * time.Millisecond
	// digestWait bounds one ask inside a region.
	digestWait = 150 * time.Millisecond
	// digestPause is the pause after a failure: a steward that is gone is
	// replaced in about a second.
	digestPause = 500 * time.Millisecond
	// lifeValid is how long after the last digest of a group those of an earlier epoch
	// or term are refused. A steward that was paused ends within a second of waking.
	lifeValid = 5 * time.Second
)

// digests asks the stewards of all expert groups how their ranks are loaded.
type digests struct {
	log *slog.Logger
	use func(*rankpeer.Digest, time.Time)

	mu    sync.Mutex
	addrs map[string]string
	stops map[string]context.CancelFunc
	// last are the epoch and the term of the newest digest of each group.
	last map[string]life
}

// life orders the digests of one group. It is of a time at, after which it counts for a
// while: a group may be built anew under its name, with epochs that begin again.
type life struct {
	epoch, term int64
	at          time.Time
}

func newDigests(log *slog.Logger, use func(*rankpeer.Digest, time.Time)) *digests {
	return &digests{log: log, use: use, addrs: map[string]string{}, stops: map[string]context.CancelFunc{}, last: map[string]life{}}
}

// update takes a new view: where the stewards are.
func (d *digests) update(v *mirror.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for group, claim := range v.Stewards {
		if d.addrs[group] == claim.Addr {
			continue
		}
		if stop := d.stops[group]; stop != nil {
			stop()
		}
		ctx, stop := context.WithCancel(context.Background())
		d.addrs[group], d.stops[group] = claim.Addr, stop
		steers := new(expvar.String)
		steers.Set(claim.Addr)
		metricSteers.Set(group, steers)
		go d.follow(ctx, group, claim.Addr)
	}
}

// follow asks one steward until the context ends.
func (d *digests) follow(ctx context.Context, group, addr string) {
	client := rankpeer.NewClient(addr)
	defer client.Close()
	var list rankpeer.Digest
	heard := false
	for ctx.Err() == nil {
		tell, err := askDigest(ctx, client, group, list.List)
		now := time.Now()
		ok := err == nil && tell.Digest != nil && complete(tell.Digest, &list) && d.newest(group, tell.Digest)
		if ok {
			d.use(tell.Digest, now.Add(-tell.Digest.Age))
		}
		if ok != heard {
			heard = ok
			d.log.Info("digest", "group", group, "steward", addr, "heard", ok)
		}
		next := digestEvery
		if !ok {
			next = digestPause
		}
		pause.For(ctx, next)
	}
}

// complete fills in the list of targets that the steward has left out, and keeps
// a new one. It reports false if the digest does not fit its list.
func complete(d, list *rankpeer.Digest) bool {
	if d.Targets == nil && d.List == list.List {
		d.Targets = list.Targets
	}
	list.List, list.Targets = d.List, d.Targets
	n := len(d.Targets)
	return len(d.Running) == n && len(d.Queued) == n && len(d.Pace) == n
}

// newest reports whether a digest is of the group that it was asked for, and not of an
// earlier epoch or steward than the newest one: a steward that was paused, or whose
// group was formed anew without it, still answers with what it knew.
func (d *digests) newest(group string, got *rankpeer.Digest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, now := d.last[group], time.Now()
	older := got.Group.Epoch < last.epoch || got.Group.Epoch == last.epoch && got.Term < last.term
	if got.Group.Name != group || older && now.Sub(last.at) < lifeValid {
		d.log.Warn("digest not used", "group", group, "its-group", got.Group.Name, "epoch", got.Group.Epoch, "term", got.Term,
			"newest-epoch", last.epoch, "newest-term", last.term)
		return false
	}
	d.last[group] = life{got.Group.Epoch, got.Term, now}
	skew, pass := new(expvar.Float), new(expvar.Int)
	skew.Set(float64(got.Skew))
	pass.Set(got.Pass.Milliseconds())
	metricSkew.Set(group, skew)
	metricPass.Set(group, pass)
	return true
}

func askDigest(ctx context.Context, client *rankpeer.Client, group string, list uint64) (rankpeer.Tell, error) {
	if err := client.Connect(ctx, digestWait); err != nil {
		return rankpeer.Tell{}, err
	}
	ask := rankpeer.Ask{Digest: true, List: list, Word: lockstep.Word{Group: platform.GroupID{Name: group}}}
	return client.Ask(ask, digestWait)
}
