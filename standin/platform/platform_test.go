package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"verbenashift/core/configuration/store"
	"verbenashift/core/membership/instances"
	"verbenashift/standin/platform"
)

// pipe is a net.Listener inside a synctest bubble; each dial is a net.Pipe to it.
type pipe struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipe) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipe) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipe) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// fixture is a platform and a client of its store in a synctest bubble.
type fixture struct {
	*is.I
	t      *testing.T
	p      *platform.Platform
	store  *store.Client
	client *http.Client
}

// inBubble runs f with a platform in a synctest bubble, and then ends all
// goroutines.
func inBubble(t *testing.T, cfg platform.Config, f func(r fixture)) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(cfg)
		defer p.Close()
		network := &pipe{conns: make(chan net.Conn), done: make(chan struct{})}
		server := &http.Server{Handler: p.Handler()}
		go func() { _ = server.Serve(network) }()
		defer server.Close()
		transport := &http.Transport{DialContext: network.dial}
		defer transport.CloseIdleConnections()
		f(fixture{
			is.New(t), t, p,
			store.New(store.Config{Addresses: []string{"platform"}, Transport: transport}),
			&http.Client{Transport: transport},
		})
	})
}

func (r fixture) post(path, body string, status int) {
	r.t.Helper()
	res, err := r.client.Post("http://platform"+path, "application/json", strings.NewReader(body))
	r.NoErr(err)
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	r.Equal(res.StatusCode, status)
}

func (r fixture) faults(body string) { r.t.Helper(); r.post("/faults", body, http.StatusNoContent) }

func (r fixture) get(path string, header http.Header) (int, []byte) {
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodGet, "http://platform"+path, nil)
	r.NoErr(err)
	req.Header = header
	res, err := r.client.Do(req)
	r.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	r.NoErr(err)
	return res.StatusCode, body
}

func (r fixture) swap(key string, version int64, value string) int64 {
	r.t.Helper()
	next, err := r.store.CompareAndSwap(r.t.Context(), key, version, []byte(value), 0)
	r.NoErr(err)
	return next
}

func TestSwapListDelete(t *testing.T) {
	inBubble(t, platform.Config{}, func(r fixture) {
		ctx := r.t.Context()
		absent, err := r.store.Get(ctx, "a/2")
		r.NoErr(err)
		r.Equal(absent, store.KV{Key: "a/2"})
		two := r.swap("a/2", 0, "two")
		one := r.swap("a/1", 0, "one")
		r.swap("b", 0, "other")
		r.True(one > two)
		list, err := r.store.List(ctx, "a/")
		r.NoErr(err)
		r.Equal(list, []store.KV{
			{Key: "a/1", Value: []byte("one"), Version: one},
			{Key: "a/2", Value: []byte("two"), Version: two},
		})
		all, err := r.store.List(ctx, "")
		r.NoErr(err)
		r.Equal(len(all), 3)

		var conflict *store.ConflictError
		r.True(errors.As(r.store.Delete(ctx, "a/1", two), &conflict))
		r.Equal(conflict.Current.Version, one)
		r.NoErr(r.store.Delete(ctx, "a/1", one))
		r.True(errors.As(r.store.Delete(ctx, "a/1", one), &conflict))
		r.Equal(conflict.Current, store.KV{Key: "a/1"})
		r.True(r.swap("a/1", 0, "anew") > one)
	})
}

// Operators read the same configuration and confirm a change concurrently. If two
// swaps succeeded, an accepted change would be overwritten.
func TestOneOfRacingSwapsWins(t *testing.T) {
	inBubble(t, platform.Config{Latency: 2 * time.Millisecond}, func(r fixture) {
		const operators = 8
		first := r.swap("head", 0, "start")
		var wins, conflicts int
		var mu sync.Mutex
		var racing sync.WaitGroup
		for i := range operators {
			racing.Go(func() {
				_, err := r.store.CompareAndSwap(r.t.Context(), "head", first, fmt.Append(nil, i), 0)
				mu.Lock()
				defer mu.Unlock()
				var conflict *store.ConflictError
				if errors.As(err, &conflict) && conflict.Current.Version > first {
					conflicts++
				} else if err == nil {
					wins++
				}
			})
		}
		racing.Wait()
		r.Equal(wins, 1)
		r.Equal(conflicts, operators-1)
		r.Equal(len(r.p.Ledger().Keys["head"]), 2)
	})
}

// A write takes effect and the connection breaks before the response. The client
// must report an unknown outcome, and a read must return the value. A failed
// compare changes nothing, so its response is not the one that is lost.
func TestLostAnswerIsUnknownAndReadsBack(t *testing.T) {
	inBubble(t, platform.Config{}, func(r fixture) {
		ctx := r.t.Context()
		other := r.swap("duty", 0, "x")
		r.faults(`{"lose-answers":1,"lose-prefix":"head"}`)
		r.swap("duty", other, "y") // the prefix does not match: the response is not lost
		_, err := r.store.CompareAndSwap(ctx, "head", 5, []byte("mine"), 0)
		var conflict *store.ConflictError
		r.True(errors.As(err, &conflict))
		_, err = r.store.CompareAndSwap(ctx, "head", 0, []byte("mine"), 0)
		var unknown *store.UnknownError
		r.True(errors.As(err, &unknown))
		r.Equal(unknown.Op, "compare-and-swap")
		back, err := r.store.Get(ctx, "head")
		r.NoErr(err)
		r.Equal(string(back.Value), "mine")
		r.Equal(r.p.Ledger().LostAnswers, int64(1))
		r.Equal(len(r.p.Ledger().Keys["head"]), 1) // the client did not retry
		r.swap("head", back.Version, "next")
	})
}

// A node opens a watch while the configuration changes. The last change falls at
// any point of the start of the watch or between two of its lines. If it were lost,
// the node would stay on an old revision forever.
func TestWatchHasNoGap(t *testing.T) {
	const step, steps = 50 * time.Microsecond, 40
	inBubble(t, platform.Config{Latency: time.Millisecond}, func(r fixture) {
		ctx, cancel := context.WithCancel(r.t.Context())
		defer cancel()
		var want [steps][]int64
		var got [steps][]int64
		var g errgroup.Group
		for i := range steps {
			key := fmt.Sprint("head", i)
			old := r.swap(key, 0, "old")
			second := r.swap(key, old, "second")
			g.Go(func() error {
				return r.store.Watch(ctx, key, old, func(kv store.KV) { got[i] = append(got[i], kv.Version) })
			})
			time.Sleep(time.Duration(i) * step)
			want[i] = []int64{second, r.swap(key, second, "third")}
		}
		time.Sleep(time.Second)
		cancel()
		r.True(errors.Is(g.Wait(), context.Canceled))
		r.Equal(got, want)
		synctest.Wait()
		r.Equal(r.p.Ledger().OpenWatches, int64(0))
		r.Equal(r.p.Ledger().Calls["watch"], int64(steps))
	})
}

func TestWatchOfForgottenChangesIsCompacted(t *testing.T) {
	inBubble(t, platform.Config{}, func(r fixture) {
		var version, second int64
		for i := range 258 {
			version = r.swap("head", version, "v")
			if i == 1 {
				second = version
			}
		}
		err := r.store.Watch(r.t.Context(), "head", 0, func(store.KV) { r.Fail() })
		var compacted *store.CompactedError
		r.True(errors.As(err, &compacted))
		r.Equal(compacted.Version, second+1)
	})
}

// The holder of a role is paused until its lease has expired. Its key must be
// deleted, watches must report it, and a late renewal must fail with "lease not
// found"; otherwise two holders would act at the same time.
func TestLeaseLapses(t *testing.T) {
	inBubble(t, platform.Config{}, func(r fixture) {
		ctx, cancel := context.WithCancel(r.t.Context())
		defer cancel()
		lease, err := r.store.Grant(ctx, 1500*time.Millisecond)
		r.NoErr(err)
		r.Equal(lease.TTL, 2*time.Second) // whole seconds
		version, err := r.store.CompareAndSwap(ctx, "duty", 0, []byte("a"), lease.ID)
		r.NoErr(err)
		seen := make(chan store.KV, 8)
		watched := make(chan error)
		go func() { watched <- r.store.Watch(ctx, "duty", version, func(kv store.KV) { seen <- kv }) }()
		for range 3 {
			time.Sleep(lease.TTL - time.Millisecond)
			_, err = r.store.KeepAlive(ctx, lease.ID)
			r.NoErr(err)
		}
		synctest.Wait()
		r.Equal(len(seen), 0) // the renewals kept the key
		time.Sleep(lease.TTL)
		synctest.Wait()
		r.Equal(len(seen), 1)
		r.True((<-seen).Deleted)
		_, err = r.store.KeepAlive(ctx, lease.ID)
		var notFound *store.LeaseNotFoundError
		r.True(errors.As(err, &notFound))
		_, err = r.store.CompareAndSwap(ctx, "duty", 0, []byte("a"), lease.ID)
		r.True(errors.As(err, &notFound))
		r.True(errors.As(r.store.Revoke(ctx, lease.ID), &notFound))
		history := r.p.Ledger().Keys["duty"]
		r.Equal(len(history), 2)
		r.Equal(history[1].Lease, lease.ID)
		r.Equal(history[1].UnixMillis-history[0].UnixMillis, int64(4*2000-3))
		cancel()
		<-watched
	})
}

// A renewal and the expiry of the lease coincide, in either order. If the store
// confirmed the renewal and still expired the lease, the holder would act without
// a lease for a complete TTL.
func TestRenewalAtTheDeadline(t *testing.T) {
	inBubble(t, platform.Config{}, func(r fixture) {
		ctx := r.t.Context()
		var ids [200]int64
		for i := range ids {
			lease, err := r.store.Grant(ctx, 3*time.Second)
			r.NoErr(err)
			ids[i] = lease.ID
		}
		r.faults(`{"latency-ms":1000}`) // a call takes effect after half of it
		time.Sleep(2500 * time.Millisecond)
		var renewals [len(ids)]error
		var renewing sync.WaitGroup
		for i, id := range ids {
			renewing.Go(func() { _, renewals[i] = r.store.KeepAlive(ctx, id) })
		}
		renewing.Wait()
		r.faults(`{"latency-ms":0}`)
		var notFound *store.LeaseNotFoundError
		for i, id := range ids {
			revoked := r.store.Revoke(ctx, id)
			r.Equal(errors.As(renewals[i], &notFound), errors.As(revoked, &notFound))
		}
	})
}

// The next holder takes over a key with its own lease. The expiry of the first
// lease must not delete the key.
func TestKeyTakenOverOutlivesTheFirstLease(t *testing.T) {
	inBubble(t, platform.Config{}, func(r fixture) {
		ctx := r.t.Context()
		first, err := r.store.Grant(ctx, time.Second)
		r.NoErr(err)
		second, err := r.store.Grant(ctx, time.Minute)
		r.NoErr(err)
		version, err := r.store.CompareAndSwap(ctx, "duty", 0, []byte("a"), first.ID)
		r.NoErr(err)
		version, err = r.store.CompareAndSwap(ctx, "duty", version, []byte("b"), second.ID)
		r.NoErr(err)
		time.Sleep(2 * time.Second)
		kv, err := r.store.Get(ctx, "duty")
		r.NoErr(err)
		r.Equal(kv.Version, version)
		r.NoErr(r.store.Revoke(ctx, second.ID))
		kv, err = r.store.Get(ctx, "duty")
		r.NoErr(err)
		r.Equal(kv.Version, int64(0))
	})
}

// The store goes down while a watch is open and a slow write is in progress. Both
// connections break before the write takes effect, and the stored data is still
// there after the outage.
func TestOutage(t *testing.T) {
	inBubble(t, platform.Config{}, func(r fixture) {
		ctx := r.t.Context()
		version := r.swap("head", 0, "v")
		r.faults(`{"latency-ms":1000}`)
		var unavailable *store.UnavailableError
		var unknown *store.UnknownError
		var g errgroup.Group
		var watchErr, writeErr error
		g.Go(func() error { watchErr = r.store.Watch(ctx, "head", version, func(store.KV) {}); return nil })
		time.Sleep(time.Second)
		g.Go(func() error {
			_, writeErr = r.store.CompareAndSwap(ctx, "head", version, []byte("w"), 0)
			return nil
		})
		time.Sleep(300 * time.Millisecond) // before the write's effect
		r.faults(`{"down":true}`)
		r.NoErr(g.Wait())
		r.True(errors.As(watchErr, &unavailable))
		r.True(errors.As(writeErr, &unknown))
		_, err := r.store.Get(ctx, "head")
		r.True(errors.As(err, &unavailable))
		r.faults(`{"down":false}`)
		start := time.Now()
		kv, err := r.store.Get(ctx, "head")
		r.NoErr(err)
		r.Equal(kv.Version, version)
		r.Equal(time.Since(start), time.Second) // latency-ms kept its value
		r.True(r.p.Ledger().Dropped >= 3)
	})
}

func TestRateLimitRefusesWithoutEffect(t *testing.T) {
	inBubble(t, platform.Config{}, func(r fixture) {
		r.faults(`{"rate-limit":2}`)
		version := r.swap("k", 0, "v")
		version = r.swap("k", version, "w")
		_, err := r.store.CompareAndSwap(r.t.Context(), "k", version, nil, 0)
		var unavailable *store.UnavailableError
		r.True(errors.As(err, &unavailable))
		time.Sleep(time.Second)
		kv, err := r.store.Get(r.t.Context(), "k")
		r.NoErr(err)
		r.Equal(kv.Version, version)
		ledger := r.p.Ledger()
		r.Equal(ledger.Refused, int64(1))
		r.Equal(ledger.PeakWrites, int64(3))
		r.Equal(ledger.Calls, map[string]int64{"txn": 3, "range": 1})
	})
}

// Raw calls check the encoding: quoted 64-bit integers, base64, omitted fields.
func TestProtocol(t *testing.T) {
	tests := []struct {
		path, body string
		status     int
		want       string
	}{
		{"/v3/kv/put", `{"key":"aw==","value":"dg=="}`, 200, `{"header":{"revision":"2"}}`},
		{"/v3/kv/range", `{"key":"aw=="}`, 200, `{"header":{"revision":"2"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"2"}]}`},
		{"/v3/kv/range", `{"key":"eg=="}`, 200, `{"header":{"revision":"2"}}`},
		{"/v3/lease/grant", `{"TTL":"7"}`, 200, `{"ID":"1","TTL":"7"}`},
		{"/v3/lease/keepalive", `{"ID":1}`, 200, `{"result":{"ID":"1","TTL":"7"}}`},
		{"/v3/lease/keepalive", `{"ID":"2"}`, 200, `{"result":{"ID":"2"}}`},
		{"/v3/lease/revoke", `{"ID":"2"}`, 404, `{"code":5,"message":"requested lease not found"}`},
		{"/v3/kv/put", `{"key":"aw==","lease":"2"}`, 404, `{"code":5,"message":"requested lease not found"}`},
		{"/v3/kv/put", `{"value":"dg=="}`, 400, `{"code":3,"message":"key is not provided"}`},
		{
			"/v3/kv/txn", `{"compare":[{"key":"aw==","target":"MOD","result":"EQUAL","mod_revision":"9"}],` +
				`"failure":[{"request_range":{"key":"aw=="}}]}`,
			200, `{"header":{"revision":"2"},"responses":[{"response_range":{"header":{"revision":"2"},` +
				`"kvs":[{"key":"aw==","value":"dg==","mod_revision":"2"}]}}]}`,
		},
		{"/v3/kv/txn", `{"compare":[{"target":"VALUE"}]}`, 400, `{"code":3,"message":"compare VALUE  is not supported"}`},
	}
	inBubble(t, platform.Config{}, func(r fixture) {
		for _, tt := range tests {
			res, err := r.client.Post("http://platform"+tt.path, "application/json", strings.NewReader(tt.body))
			r.NoErr(err)
			body, err := io.ReadAll(res.Body)
			r.NoErr(err)
			r.Equal(res.StatusCode, tt.status)
			r.Equal(strings.TrimSpace(string(body)), tt.want)
		}
		r.post("/v3/kv/put", `{"kye":"aw=="}`, http.StatusBadRequest)
		r.post("/faults", `{"dwon":true}`, http.StatusBadRequest)
	})
}

func TestInstanceListLags(t *testing.T) {
	inBubble(t, platform.Config{InstanceLag: 3 * time.Second}, func(r fixture) {
		list := func() string {
			_, body := r.get("/instances", nil)
			var list []instances.Instance
			r.NoErr(json.Unmarshal(body, &list))
			var s string
			for _, i := range list {
				s += i.Name + ":" + i.State + " "
			}
			return s
		}
		r.post("/instances", `[{"name":"a","state":"live"},{"name":"b","state":"live"}]`, http.StatusNoContent)
		r.Equal(list(), "")
		time.Sleep(2 * time.Second)
		r.post("/instances", `[{"name":"a","state":"leaving"}]`, http.StatusNoContent)
		time.Sleep(time.Second)
		r.Equal(list(), "a:live b:live ")
		r.post("/instances", `[{"name":"b","state":"gone"}]`, http.StatusNoContent)
		time.Sleep(2 * time.Second)
		r.Equal(list(), "b:live a:leaving ")
		time.Sleep(time.Second)
		r.Equal(list(), "a:leaving ")
		r.post("/instances", `[{"name":"c","state":"lost"}]`, http.StatusBadRequest)
	})
}

func TestWeightsInParts(t *testing.T) {
	inBubble(t, platform.Config{WeightSize: 1000}, func(r fixture) {
		want := make([]byte, 1000)
		platform.FillWeights(platform.WeightSeed("m", "3", "7"), 0, want)
		status, full := r.get("/weights/m/3/7", nil)
		r.Equal(status, http.StatusOK)
		r.True(bytes.Equal(full, want))
		status, part := r.get("/weights/m/3/7", http.Header{"Range": {"bytes=13-700"}})
		r.Equal(status, http.StatusPartialContent)
		r.True(bytes.Equal(part, want[13:701]))
		_, other := r.get("/weights/m/3/8", nil)
		r.True(!bytes.Equal(other, want))
		r.Equal(r.p.Ledger().WeightBytes, int64(2688))
	})
}

// The rate limit is shared by all readers: four readers of 1 MiB each take as long
// as one reader of 4 MiB.
func TestWeightRateIsShared(t *testing.T) {
	inBubble(t, platform.Config{WeightRate: 1 << 20}, func(r fixture) {
		start := time.Now()
		var reading sync.WaitGroup
		for i := range 4 {
			reading.Go(func() { r.get(fmt.Sprintf("/weights/m/0/%d", i), nil) })
		}
		reading.Wait()
		took := time.Since(start) // on the bubble's clock; the first burst is not limited
		r.True(took > 3900*time.Millisecond && took <= 4*time.Second)
	})
}

// Guards against a client that goes by versions and leases that a restored store has lost or given
// out again: it would overwrite the value of another, renew another's lease, or miss changes.
func TestRestoredStore(t *testing.T) {
	inBubble(t, platform.Config{Latency: time.Millisecond}, func(r fixture) {
		ctx := r.t.Context()
		r.swap("other", 0, "x")
		r.post("/copy", "", http.StatusNoContent)
		version := r.swap("a", 0, "before")
		lease, err := r.store.Grant(ctx, time.Minute)
		r.NoErr(err)
		ended := make(chan error, 1)
		go func() { ended <- r.store.Watch(ctx, "a", version, func(store.KV) {}) }()
		time.Sleep(time.Second)
		r.post("/restore", "", http.StatusNoContent)
		var unavailable *store.UnavailableError
		r.True(errors.As(<-ended, &unavailable)) // the connection is cut

		other := store.New(store.Config{Addresses: []string{"platform"}, Transport: r.client.Transport})
		again, err := other.CompareAndSwap(ctx, "a", 0, []byte("after"), 0)
		r.NoErr(err)
		r.True(again > version)
		theirs, err := other.Grant(ctx, time.Minute)
		r.NoErr(err)
		r.True(theirs.ID > lease.ID)

		// The first client does not know of the restore.
		var compacted *store.CompactedError
		r.True(errors.As(r.store.Watch(ctx, "a", version, func(store.KV) {}), &compacted))
		var conflict *store.ConflictError
		_, err = r.store.CompareAndSwap(ctx, "a", version, []byte("mine"), 0)
		r.True(errors.As(err, &conflict))
		r.Equal(conflict.Current, store.KV{Key: "a", Value: []byte("after"), Version: again, Era: 1})
		var notFound *store.LeaseNotFoundError
		_, err = r.store.KeepAlive(ctx, lease.ID)
		r.True(errors.As(err, &notFound))
		r.True(errors.As(r.store.Revoke(ctx, lease.ID), &notFound))
		_, err = r.store.CompareAndSwap(ctx, "b", 0, nil, lease.ID)
		r.True(errors.As(err, &notFound))
		_, err = other.KeepAlive(ctx, theirs.ID)
		r.NoErr(err)
	})
}

// Guards against a write that counts as made as expected although the store was restored before it,
// and the version that it expected is that of another value.
func TestWriteOnAPremiseOfAnEarlierEra(t *testing.T) {
	inBubble(t, platform.Config{}, func(r fixture) {
		ctx := r.t.Context()
		r.post("/copy", "", http.StatusNoContent)
		version := r.swap("a", 0, "mine")
		lease, err := r.store.Grant(ctx, time.Minute)
		r.NoErr(err)
		r.post("/restore", "", http.StatusNoContent)
		other := store.New(store.Config{Addresses: []string{"platform"}, Transport: r.client.Transport})
		_, err = other.CompareAndSwap(ctx, "a", 0, []byte("theirs"), 0)
		r.NoErr(err)
		var unknown *store.UnknownError
		_, err = r.store.CompareAndSwap(ctx, "a", version, []byte("next"), 0)
		r.True(errors.As(err, &unknown))
		var notFound *store.LeaseNotFoundError
		_, err = r.store.KeepAlive(ctx, lease.ID)
		r.True(errors.As(err, &notFound))
	})
}
