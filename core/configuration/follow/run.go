package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
	"verbenashift/core/configuration/store"
	"verbenashift/core/plumbing/pause"
)

// Run reads and watches the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next := firstPause
	// The answer of a store that was restored suffices only then.
	late := time.AfterFunc(config.MaxAnswerAge, f.finishStart)
	defer late.Stop()
	for ctx.Err() == nil {
		version, err := f.read(ctx)
		if err == nil {
			next = firstPause
			f.wait(ctx, version)
			continue
		}
		pause.For(ctx, jitter(next))
		next = min(2*next, maxPause)
	}
}

// finishStart ends the start if what is known by now suffices.
func (f *Follower) finishStart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tryBootstrap()
}

func (f *Follower) read(ctx context.Context) (int64, error) {
	kv, err := f.cfg.Store.Get(ctx, intent.HeadKey)
	if err != nil {
		return 0, err
	}
	f.MarkConfirmed()
	revision := f.offerStored(kv)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startup.StoreAnswered, f.startup.StoreRestored = true, kv.Era > 0
	f.startup.StoreRevision = max(f.startup.StoreRevision, revision)
	f.tryBootstrap()
	return kv.Version, nil
}

// offerStored offers the configuration that the store holds and returns its revision.
func (f *Follower) offerStored(kv store.KV) uint64 {
	if len(kv.Value) == 0 {
		return 0
	}
	c, err := config.Decode(kv.Value)
	if err != nil {
		f.cfg.Log.Error("head of the configuration is unreadable", "version", kv.Version, "error", err)
		return 0
	}
	f.Offer(c)
	return c.Revision
}

// wait watches the head until the next refresh is due, if this process
// watches, and otherwise only waits.
func (f *Follower) wait(ctx context.Context, version int64) {
	ctx, cancel := context.WithTimeout(ctx, jitter(f.cfg.Refresh))
	defer cancel()
	if f.cfg.Watch != nil && !f.cfg.Watch() {
		<-ctx.Done()
		return
	}
	err := f.cfg.Store.Watch(ctx, intent.HeadKey, version, func(kv store.KV) { f.offerStored(kv) })
	if ctx.Err() == nil {
		f.cfg.Log.Info("watch of the configuration ended", "error", err)
	}
}

// jitter returns d lengthened or shortened by up to a quarter at random.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}
