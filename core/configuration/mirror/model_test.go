package mirror

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/plumbing/pause"
)

// modelData is what a modelStore holds. Revisions are its counters.
type modelData struct {
	revision, oldest int64

	items   map[string]kv.Item
	history []kv.Item
}

func (d *modelData) copy() modelData {
	return modelData{d.revision, d.oldest, maps.Clone(d.items), slices.Clone(d.history)}
}

// modelStore is a store in virtual time that can be restored from a copy of itself.
type modelStore struct {
	mu sync.Mutex
	modelData
	era  int64
	down bool
	// changed is closed at each change.
	changed chan struct{}
	// written are the values that the operator and the servers have written last.
	written map[string]kv.Item
	older   modelData
	calls   int
}

var errModelDown = errors.New("no answer")

func newModelStore() *modelStore {
	return &modelStore{modelData: modelData{oldest: 1, items: map[string]kv.Item{}}, changed: make(chan struct{}), written: map[string]kv.Item{}}
}

// notify wakes the watches. The lock must be held.
func (s *modelStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes or removes a key. The lock must be held.
func (s *modelStore) write(it kv.Item) {
	s.revision++
	it.Revision, it.CreateRevision = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.CreateRevision = old.CreateRevision
	}
	s.items[it.Key] = it
	if it.Deleted {
		delete(s.items, it.Key)
	}
	s.history = append(s.history, it)
	s.notify()
}

// put makes the operator or a server write an item, or remove it.
func (s *modelStore) put(it kv.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[it.Key] = it
	if it.Deleted {
		delete(s.written, it.Key)
	}
	s.write(it)
}

// restore brings the older copy back.
func (s *modelStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modelData = s.older.copy()
	s.era++
	s.notify()
}

// rewrite makes the operator and the servers write again what the store has lost.
func (s *modelStore) rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if _, ok := s.written[key]; !ok && key != checkpointKey {
			s.write(kv.Item{Key: key, Deleted: true})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.written)) {
		if string(s.items[key].Value) != string(s.written[key].Value) {
			s.write(s.written[key])
		}
	}
}

// modelClient is a client of a modelStore, with the guarantees of the platform's.
type modelClient struct {
	*modelStore
	rng *rand.Rand
	// known is the highest era that an answer has stated, connected that of the last connection.
	known, connected int64
}

// delay takes the time that a call needs in one direction.
func (c *modelClient) delay(ctx context.Context) {
	c.mu.Lock()
	d := time.Duration(c.rng.Int64N(int64(20 * time.Millisecond)))
	c.mu.Unlock()
	pause.For(ctx, d)
}

// call makes a call. The function runs with the lock held.
func (c *modelClient) call(ctx context.Context, fn func() error) error {
	c.delay(ctx)
	c.mu.Lock()
	c.calls++
	era, err := c.era, errModelDown
	if !c.down {
		err = fn()
	}
	c.mu.Unlock()
	c.delay(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era != era || c.down || ctx.Err() != nil {
		return errModelDown // The answer is lost with the connection.
	}
	c.known = max(c.known, era)
	return err
}

// page returns items as of now. The lock must be held.
func (c *modelClient) page(items []kv.Item) kv.Page {
	p := kv.Page{Revision: at(c.era, c.revision)}
	for _, it := range items {
		p.Items = append(p.Items, inEra(c.era, it))
	}
	return p
}

func (c *modelClient) Range(ctx context.Context, prefix, _ string) (p kv.Page, err error) {
	err = c.call(ctx, func() error {
		var items []kv.Item
		for _, key := range slices.Sorted(maps.Keys(c.items)) {
			if strings.HasPrefix(key, prefix) {
				items = append(items, c.items[key])
			}
		}
		p = c.page(items)
		return nil
	})
	return p, err
}

func (c *modelClient) StaleRange(ctx context.Context, prefix, after string) (kv.Page, error) {
	return c.Range(ctx, prefix, after)
}

func (c *modelClient) StaleGet(ctx context.Context, key string) (it kv.Item, err error) {
	err = c.call(ctx, func() error {
		found, ok := c.items[key]
		if !ok {
			return &kv.StatusError{Status: http.StatusNotFound}
		}
		it = inEra(c.era, found)
		return nil
	})
	return it, err
}

func (c *modelClient) Set(ctx context.Context, key string, value []byte) error {
	return c.call(ctx, func() error {
		c.write(kv.Item{Key: key, Value: value})
		return nil
	})
}

// Watch waits like the store: by its counter alone, whatever the era. A restore cuts the connection.
func (c *modelClient) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (p kv.Page, err error) {
	c.mu.Lock()
	era := c.era
	outdated := c.known > kv.Era(after)
	if c.connected != era {
		c.connected, wait = era, 0
	}
	c.mu.Unlock()
	if outdated {
		return kv.Page{}, &kv.StatusError{Status: http.StatusGone}
	}
	deadline := time.Now().Add(wait)
	for {
		var changed chan struct{}
		err = c.call(ctx, func() error {
			if c.era != era {
				return errModelDown // A watch that waits is cut.
			}
			if kv.Counter(after) > c.revision || kv.Counter(after)+1 < c.oldest {
				return &kv.StatusError{Status: http.StatusGone}
			}
			var events []kv.Item
			for _, it := range c.history {
				if it.Revision > kv.Counter(after) {
					events = append(events, it)
				}
			}
			p, changed = c.page(events), c.changed
			return nil
		})
		if err != nil {
			return kv.Page{}, err
		}
		if len(p.Items) > 0 || !time.Now().Before(deadline) {
			break
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
			return kv.Page{}, ctx.Err()
		}
	}
	if kv.Era(p.Revision) != kv.Era(after) {
		return kv.Page{}, &kv.StatusError{Status: http.StatusGone}
	}
	return p, nil
}

// model is a store with an operator, servers and followers.
type model struct {
	t     *testing.T
	rng   *rand.Rand
	store *modelStore
	mu    sync.Mutex
	// version is that of the operator's configuration; zones are evacuated; servers are those that
	// run, and left those that have left.
	version int64
	zones   map[string]bool
	servers []string
	left    map[string]bool
	started int
	// ended counts the evacuations that the operator has ended, by zone.
	ended map[string]int
	trace []string
}

// seen is what a follower has shown.
type seen struct {
	version int64
	drained map[string]bool
	gone    map[string]bool
	known   map[string]bool
	// zones are the evacuated zones, with the number of evacuations of them that had ended.
	zones map[string]int
}

// check checks a snapshot of a follower against what it has shown before.
func (m *model) check(name string, s *seen, v *Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.Config.Version < s.version {
		m.fail("%s: version %d after %d", name, v.Config.Version, s.version)
	}
	s.version = v.Config.Version
	for id := range s.known {
		if _, ok := v.Targets[id]; !ok && m.left[id] {
			s.gone[id] = true
		}
	}
	for id, t := range v.Targets {
		s.known[id] = true
		if s.drained[id] && !t.Draining {
			m.fail("%s: %s drains no more", name, id)
		}
		if s.gone[id] {
			m.fail("%s: %s is back", name, id)
		}
		s.drained[id] = t.Draining
	}
	for zone, ended := range s.zones {
		if m.zones[zone] && ended == m.ended[zone] && !v.Evacuated[zone] {
			m.fail("%s: zone %s is not evacuated any more", name, zone)
		}
	}
	before := s.zones
	s.zones = map[string]int{}
	for zone := range v.Evacuated {
		if !m.zones[zone] {
			continue // The store has an evacuation again that has ended.
		}
		s.zones[zone] = m.ended[zone]
		if ended, shown := before[zone]; shown {
			s.zones[zone] = ended
		}
	}
}

func (m *model) fail(format string, args ...any) {
	m.t.Errorf(format, args...)
}

// change makes the operator or a server change something.
func (m *model) change() {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.rng.IntN(6) {
	case 0, 1:
		m.version += 1 + m.rng.Int64N(4)
		m.store.put(config(m.version))
	case 2:
		m.started++
		id := fmt.Sprintf("i%d", m.started)
		m.servers = append(m.servers, id)
		m.store.put(m.entry(id, "ready"))
	case 3:
		if len(m.servers) > 0 {
			m.store.put(m.entry(m.servers[0], "draining"))
		}
	case 4:
		if len(m.servers) > 2 {
			m.left[m.servers[0]] = true
			m.store.put(kv.Item{Key: testTargetPrefix + m.servers[0], Deleted: true})
			m.servers = m.servers[1:]
		}
	case 5:
		zone := fmt.Sprintf("z%d", m.rng.IntN(2))
		if m.zones[zone] {
			delete(m.zones, zone)
			m.ended[zone]++
			m.store.put(restoration(zone, 0))
			return
		}
		m.zones[zone] = true
		m.store.put(evacuation(zone, 0))
	}
}

// entry returns the entry of a server at an address of its own.
func (m *model) entry(id, state string) kv.Item {
	var n int
	_, _ = fmt.Sscanf(id, "i%d", &n)
	return entry(id, fmt.Sprintf("10.0.%d.%d:80", n/250, 1+n%250), state, 0)
}

// maxRewrite is the longest time until the operator and the servers have written again what a
// restored store lacks.
const maxRewrite = 1800 * time.Millisecond

// disturb restores the store, or hides its history. It returns when what was lost is written again.
func (m *model) disturb() {
	wait := func(limit time.Duration) { time.Sleep(time.Duration(m.rng.Int64N(int64(limit)))) }
	kind := m.rng.IntN(5)
	m.trace = append(m.trace, [...]string{"restored", "restored while down", "restored twice", "restored after a write", "compacted"}[kind])
	switch kind {
	case 0:
		m.store.restore()
	case 1:
		m.setDown(true)
		wait(3 * time.Second)
		m.store.restore()
		m.setDown(false)
	case 2:
		m.store.restore()
		wait(300 * time.Millisecond)
		if m.rng.IntN(2) == 0 {
			m.store.rewrite()
		}
		wait(300 * time.Millisecond)
		m.store.restore()
	case 3:
		m.change()
		wait(20 * time.Millisecond)
		m.store.restore()
	case 4:
		m.store.mu.Lock()
		m.store.oldest, m.store.history = m.store.revision+1, nil
		m.store.mu.Unlock()
		return
	}
	wait(maxRewrite)
	m.store.rewrite()
}

func (m *model) setDown(down bool) {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	m.store.down = down
	m.store.notify()
}

// converged returns in what a follower differs from the store, or "".
func (m *model) converged(f *Follower) string {
	v := f.Snapshot()
	if v == nil {
		return "no snapshot"
	}
	got := fmt.Sprint(v.Config.Version, slices.Sorted(maps.Keys(v.Targets)), slices.Sorted(maps.Keys(v.Evacuated)))
	want := fmt.Sprint(m.version, slices.Sorted(slices.Values(m.servers)), slices.Sorted(maps.Keys(m.zones)))
	if got == want {
		return ""
	}
	return "has " + got + ", want " + want
}

const (
	// modelFollowers follow the store; one of them starts late.
	modelFollowers = 3
	modelSteps     = 25
	// settling is how long after the last change all followers must know everything.
	settling = 4 * time.Second
	// maxModelCalls bounds the calls of a follower in settling: a read, a few watches and what
	// follows a change.
	maxModelCalls = 30
)

// run plays a seed.
func (m *model) run() {
	ctx, stop := context.WithCancel(m.t.Context())
	defer stop()
	var followers []*Follower
	var done sync.WaitGroup
	start := func() {
		client := &modelClient{modelStore: m.store, rng: rand.New(rand.NewPCG(m.rng.Uint64(), 1))}
		f := NewFollower(client, testFormats(), quiet())
		name := fmt.Sprintf("follower %d", len(followers))
		s := &seen{drained: map[string]bool{}, gone: map[string]bool{}, known: map[string]bool{}}
		f.OnChange(func(v *Snapshot) { m.check(name, s, v) })
		f.UseCheckpoints(client, len(followers) == 0)
		f.SetFeeds(nil, len(followers) == 0, true)
		done.Go(func() { f.Run(ctx) })
		followers = append(followers, f)
	}
	m.version = 1
	m.store.put(config(1))
	for range modelFollowers - 1 {
		start()
	}
	// Half of the seeds have hints, with which watches wait for longer.
	if m.rng.IntN(2) == 0 {
		done.Go(func() { m.hint(ctx, &followers) })
	}
	for step := range modelSteps {
		time.Sleep(time.Duration(m.rng.Int64N(int64(600 * time.Millisecond))))
		switch m.rng.IntN(5) {
		case 0:
			m.store.mu.Lock()
			m.store.older = m.store.copy()
			m.store.mu.Unlock()
		case 1:
			if m.store.older.items != nil {
				m.disturb()
			}
		default:
			m.change()
		}
		if step == modelSteps/2 {
			m.mu.Lock()
			start()
			m.mu.Unlock()
		}
	}
	m.store.rewrite()
	m.store.mu.Lock()
	before := m.store.calls
	m.store.mu.Unlock()
	time.Sleep(settling)
	for i, f := range followers {
		if diff := m.converged(f); diff != "" {
			m.fail("follower %d %s", i, diff)
		}
	}
	m.store.mu.Lock()
	if n := m.store.calls - before; n > modelFollowers*maxModelCalls {
		m.fail("%d calls in %v", n, settling)
	}
	m.store.mu.Unlock()
	stop()
	done.Wait()
}

// hint reports to each follower several times a second up to where others have seen the store.
func (m *model) hint(ctx context.Context, followers *[]*Follower) {
	for pause.For(ctx, 200*time.Millisecond) {
		m.mu.Lock()
		all := slices.Clone(*followers)
		m.mu.Unlock()
		newest := int64(0)
		for _, f := range all {
			newest = max(newest, f.LastEventRevision())
		}
		for i, f := range all {
			f.Hint(newest, i == 0)
		}
	}
}

// Guards against followers that go by what a restored store has lost or gives out again, wherever
// the restore falls: during a read, a watch, a write or an outage, and twice in a row.
func TestFollowersOfARestoredStore(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 45)), store: newModelStore(), zones: map[string]bool{}, left: map[string]bool{}, ended: map[string]int{}}
				m.run()
				if t.Failed() {
					t.Log(strings.Join(m.trace, ", "))
				}
			})
		})
	}
}
