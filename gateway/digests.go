package main

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"verbenashift/core/mirror"
	"verbenashift/core/pause"
	"verbenashift/core/rankpeer"
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
)

// digests asks the stewards of all expert groups how their ranks are loaded.
type digests struct {
	log *slog.Logger
	use func(*rankpeer.Digest, time.Time)

	mu    sync.Mutex
	addrs map[string]string
	stops map[string]context.CancelFunc
}

func newDigests(log *slog.Logger, use func(*rankpeer.Digest, time.Time)) *digests {
	return &digests{log: log, use: use, addrs: map[string]string{}, stops: map[string]context.CancelFunc{}}
}

// update takes a new view: where the stewards are.
func (d *digests) update(v *mirror.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for group, addr := range v.Stewards {
		if d.addrs[group] == addr {
			continue
		}
		if stop := d.stops[group]; stop != nil {
			stop()
		}
		ctx, stop := context.WithCancel(context.Background())
		d.addrs[group], d.stops[group] = addr, stop
		go d.follow(ctx, group, addr)
	}
}

// follow asks one steward until the context ends.
func (d *digests) follow(ctx context.Context, group, addr string) {
	client := rankpeer.NewClient(addr)
	defer client.Close()
	var list rankpeer.Digest
	heard := false
	for ctx.Err() == nil {
		tell, err := askDigest(ctx, client, list.List)
		now := time.Now()
		ok := err == nil && tell.Digest != nil && complete(tell.Digest, &list)
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

func askDigest(ctx context.Context, client *rankpeer.Client, list uint64) (rankpeer.Tell, error) {
	if err := client.Connect(ctx, digestWait); err != nil {
		return rankpeer.Tell{}, err
	}
	return client.Ask(rankpeer.Ask{Digest: true, List: list}, digestWait)
}
