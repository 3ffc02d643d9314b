// Package follow keeps one process up to date with the configuration in force.
//
// A Follower learns of revisions in three ways: it reads and watches the head
// key of the platform's store, peers send it configurations, and heartbeats
// report that a peer has a higher revision. From any source, a revision lower
// than the one in force is rejected, and the process uses one *config.Index at
// a time.
//
// A process that has just started uses no configuration until config.Bootstrap
// permits it: an answer of the store suffices, and while the store is down the
// answers of a majority of the agents named in the settings do.
//
// # Usage
//
//	f := follow.New(follow.Config{Store: client, Refresh: 30 * time.Second})
//	f.OnChange(table.Update)
//	go f.Run(ctx)
//	index := f.Index() // nil until the first configuration
package follow

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/store"
)

// The bounds of the exponential backoff after a failed call to the store. Each
// pause is jittered by a quarter of itself in both directions, so that the
// processes do not all call a recovered store at once.
const (
	firstPause = 250 * time.Millisecond
	maxPause   = 8 * time.Second
)

// Store is the part of the platform's store that a follower needs.
type Store interface {
	Get(ctx context.Context, key string) (store.KV, error)
	Watch(ctx context.Context, key string, fromVersion int64, f func(store.KV)) error
}

// Config says how a Follower works.
type Config struct {
	Store Store
	// Refresh is how often the head is read in addition to the watch.
	Refresh time.Duration
	// Self is this process's address among Electorate, "" for an entry, and
	// Electorate the agents whose answers count at a start while the store is
	// down; see config.Startup.
	Self       string
	Electorate []string
	// Watch reports whether this process is one of those that watch.
	Watch func() bool
	Log   *slog.Logger
}

// Follower holds the configuration in force in one process. It is safe for use
// by several goroutines.
type Follower struct {
	cfg   Config
	index atomic.Pointer[config.Index]

	mu           sync.Mutex
	tracker      config.Tracker
	startup      config.Startup
	answers      []config.PeerAnswer
	bootstrapped bool
	reason       string
	// inForce are the last revisions that were in force in this process.
	inForce  []config.InForce
	onChange []func(*config.Index)
	// encoded is the gzip encoding of revision encodedOf.
	encoded   []byte
	encodedOf uint64

	// lastConfirmed is when the store or a peer last confirmed the revision, in Unix
	// nanoseconds.
	lastConfirmed atomic.Int64
}

// New returns a follower without a configuration.
func New(cfg Config) *Follower {
	return &Follower{
		cfg:     cfg,
		reason:  "starting",
		startup: config.Startup{Self: cfg.Self, Electorate: cfg.Electorate, Started: time.Now()},
	}
}

// OnChange adds a function that is called after each change, in order, one call
// at a time. It must be called before Run.
func (f *Follower) OnChange(fn func(*config.Index)) {
	f.onChange = append(f.onChange, fn)
}

// Index returns the configuration in force, nil if there is none yet or if this
// process has not finished its start.
func (f *Follower) Index() *config.Index {
	return f.index.Load()
}

// Revision returns the revision in force, 0 if there is none yet. Peers
// ignore an answer of 0, which a process gives until it has finished its start,
// so that it never confirms an old revision.
func (f *Follower) Revision() uint64 {
	if x := f.index.Load(); x != nil {
		return x.Revision()
	}
	return 0
}

// History returns the revisions that were in force in this process, oldest
// first.
func (f *Follower) History() []config.InForce {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]config.InForce(nil), f.inForce...)
}

// Encoded returns the configuration in force with gzip compression, which is
// made once per revision, and its revision.
func (f *Follower) Encoded() (uint64, []byte) {
	x := f.index.Load()
	if x == nil {
		return 0, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.encodedOf == x.Revision() {
		return f.encodedOf, f.encoded
	}
	data, err := config.EncodeGzip(x.Config())
	if err != nil {
		f.cfg.Log.Error("configuration cannot be encoded", "revision", x.Revision(), "error", err)
		return 0, nil
	}
	f.encodedOf, f.encoded = x.Revision(), data
	return f.encodedOf, f.encoded
}

// MarkConfirmed records that the store or a peer has confirmed the current revision.
func (f *Follower) MarkConfirmed() {
	f.lastConfirmed.Store(time.Now().UnixNano())
}

// SinceConfirmed returns the time since the store or a peer last confirmed the
// revision.
func (f *Follower) SinceConfirmed() time.Duration {
	return time.Duration(time.Now().UnixNano() - f.lastConfirmed.Load())
}

// FetchedRevision returns the highest revision fetched, in force or not.
func (f *Follower) FetchedRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Revision()
}

// Reason says why this process has no configuration in force, "" if it has.
func (f *Follower) Reason() string {
	if f.Index() != nil {
		return ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bootstrapped {
		return "no configuration yet"
	}
	return f.reason
}

// AddAnswer records the revision that a peer has reported, for a start without the
// store.
func (f *Follower) AddAnswer(a config.PeerAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bootstrapped || a.Revision == 0 {
		return
	}
	a.Bootstrapped = true
	f.answers = append(f.answers, a)
	f.tryBootstrap()
}

// tryBootstrap ends the start if the answers so far suffice. The caller holds mu.
func (f *Follower) tryBootstrap() {
	if f.bootstrapped {
		return
	}
	f.startup.FetchedRevision = f.tracker.Revision()
	d := config.Bootstrap(f.startup, f.answers, time.Now())
	f.reason = d.Reason()
	if d.Step != config.StepServe {
		return
	}
	f.bootstrapped, f.answers = true, nil
	f.publish()
}

// publish puts the highest configuration in force. The caller holds mu.
func (f *Follower) publish() {
	c, ok := f.tracker.Current()
	if !ok {
		return
	}
	x := config.NewIndex(c)
	f.index.Store(x)
	// What was only fetched before the end of the start was never in force:
	// reporting it would look like a node that used an old revision.
	f.inForce = append(f.inForce, config.InForce{Revision: c.Revision, ChangeID: c.ChangeID, UnixMillis: time.Now().UnixMilli()})
	if n := len(f.inForce) - config.MaxHistory; n > 0 {
		f.inForce = append(f.inForce[:0:0], f.inForce[n:]...)
	}
	for _, fn := range f.onChange {
		fn(x)
	}
}

// Offer offers a configuration from any source and reports whether it is now
// in force. An older revision never is.
func (f *Follower) Offer(c config.Config) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.MarkConfirmed()
	if !f.tracker.Offer(c, time.Now()) {
		return false
	}
	if f.bootstrapped {
		f.publish()
		return true
	}
	f.tryBootstrap()
	return f.bootstrapped
}

// OfferEncoded offers a configuration that was encoded with EncodeGzip.
func (f *Follower) OfferEncoded(data []byte) (bool, error) {
	c, err := config.Decode(data)
	if err != nil {
		return false, errors.Wrap(err, "decode configuration of a peer")
	}
	return f.Offer(c), nil
}
