package store_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/store"
	"verbenashift/core/configuration/store/wire"
)

// server runs h and counts its calls.
func server(t *testing.T, h http.HandlerFunc) (address string, calls *atomic.Int64) {
	calls = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		calls.Add(1)
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL, calls
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func cut(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, `{"header":{"revision":"7"},`)
	drop(w, r)
}

// malform answers with the header of the era under an invalid name.
func malform(status int) http.HandlerFunc {
	const body = `{"header":{"revision":"7"},"succeeded":true,"result":{"ID":"9","TTL":"5"}}`
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Any\r\n%s : 2\r\nContent-Length: %d\r\n\r\n%s", status, wire.EraHeader, len(body), body)
	}
}

// freeAddress returns an address without a listener.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func kind(err error) string {
	var (
		unavailable *store.UnavailableError
		unknown     *store.UnknownError
		refused     *store.RefusedError
		gone        *store.LeaseNotFoundError
		conflict    *store.ConflictError
	)
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &unknown):
		return "unknown"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &gone):
		return "lease-gone"
	case errors.As(err, &conflict):
		return "conflict"
	}
	return fmt.Sprintf("%T", err)
}

// Guards against reporting a write as without effect when it may have taken
// effect: an operator would confirm a plan again, and the change would be made
// twice. Each answer that does not prove the opposite is an unknown outcome.
func TestKindOfFailure(t *testing.T) {
	tests := []struct {
		name              string
		handler           http.HandlerFunc
		write, keep, read string
	}{
		{name: "dropped", handler: drop, write: "unknown", keep: "unknown", read: "unavailable"},
		{name: "cut answer", handler: cut, write: "unknown", keep: "unknown", read: "unavailable"},
		{name: "malformed head", handler: malform(200), write: "unknown", keep: "unknown", read: "unavailable"},
		{name: "malformed head of a refusal", handler: malform(404), write: "unknown", keep: "unknown", read: "unavailable"},
		{name: "no JSON", handler: answer(200, "welcome"), write: "unknown", keep: "unknown", read: "unavailable"},
		{name: "empty JSON", handler: answer(200, "{}"), write: "unknown", keep: "unknown", read: "unavailable"},
		{name: "internal error", handler: answer(500, ""), write: "unknown", keep: "unknown", read: "unavailable"},
		{name: "gateway timeout", handler: answer(504, ""), write: "unknown", keep: "unknown", read: "unavailable"},
		{name: "cancelled", handler: answer(408, ""), write: "unknown", keep: "unknown", read: "unavailable"},
		{name: "service unavailable", handler: answer(503, ""), write: "unknown", keep: "unknown", read: "unavailable"},
		{name: "too many requests", handler: answer(429, ""), write: "unavailable", keep: "unavailable", read: "unavailable"},
		{name: "bad request", handler: answer(400, ""), write: "refused", keep: "refused", read: "refused"},
		{name: "not found", handler: answer(404, ""), write: "lease-gone", keep: "lease-gone", read: "refused"},
		{
			name:    "no swap and no current value",
			handler: answer(200, `{"header":{"revision":"7"}}`), write: "unknown", keep: "unknown", read: "done",
		},
		{
			name:    "swap without a version",
			handler: answer(200, `{"succeeded":true}`), write: "unknown", keep: "unknown", read: "unavailable",
		},
		{
			name:    "lapsed lease",
			handler: answer(200, `{"header":{"revision":"7"},"succeeded":true,"result":{"ID":"9"}}`),
			write:   "done", keep: "lease-gone", read: "done",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address, _ := server(t, tt.handler)
			c := store.New(store.Config{Addresses: []string{address}})
			_, err := c.CompareAndSwap(t.Context(), "k", 1, []byte("v"), 9)
			is.Equal(kind(err), tt.write)
			_, err = c.KeepAlive(t.Context(), 9)
			is.Equal(kind(err), tt.keep)
			_, err = c.Get(t.Context(), "k")
			is.Equal(kind(err), tt.read)
		})
	}
}

// If there is no listener or no address, or the context has ended before the
// call, the request cannot have reached the store and a retry is safe.
func TestNotSentIsUnavailable(t *testing.T) {
	is := is.New(t)
	address, calls := server(t, drop)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, err := range []error{
		store.New(store.Config{Addresses: []string{freeAddress(t)}}).Delete(t.Context(), "k", 1),
		store.New(store.Config{}).Delete(t.Context(), "k", 1),
		store.New(store.Config{Addresses: []string{address}}).Delete(ended, "k", 1),
	} {
		is.Equal(kind(err), "unavailable")
	}
	is.Equal(calls.Load(), int64(0))
}

// The store accepts a write and answers after the client's timeout.
func TestTimeoutIsUnknown(t *testing.T) {
	is := is.New(t)
	address, calls := server(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	c := store.New(store.Config{Addresses: []string{address}, Timeout: 50 * time.Millisecond})
	_, err := c.Grant(t.Context(), time.Second)
	is.Equal(kind(err), "unknown")
	is.Equal(calls.Load(), int64(1))
}

// Guards against a second attempt at the next address after the first accepted a
// write and its answer was lost: it would find the effect of the first, and the
// operator would get a conflict. A read has no effect and is tried again.
func TestOtherAddress(t *testing.T) {
	is := is.New(t)
	first, _ := server(t, drop)
	second, calls := server(t, answer(200, `{"header":{"revision":"7"},"succeeded":true}`))

	c := store.New(store.Config{Addresses: []string{first, second}})
	_, err := c.CompareAndSwap(t.Context(), "k", 0, nil, 0)
	is.Equal(kind(err), "unknown")
	is.Equal(calls.Load(), int64(0)) // the write was not sent to the second address

	c = store.New(store.Config{Addresses: []string{first, second}})
	_, err = c.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(calls.Load(), int64(1))

	c = store.New(store.Config{Addresses: []string{freeAddress(t), second}})
	version, err := c.CompareAndSwap(t.Context(), "k", 0, nil, 0)
	is.NoErr(err) // the first cannot have received it
	is.Equal(version, int64(7))
}

// Guards against a process that is killed for its memory because the store sends a head without end:
// short lines take many times their length.
func TestHeadWithoutEnd(t *testing.T) {
	is := is.New(t)
	address, _ := server(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for part := strings.Repeat("a:\n", 10<<10); err == nil; {
			_, err = io.WriteString(c, part)
		}
	})
	_, err := store.New(store.Config{Addresses: []string{address}}).Get(t.Context(), "k")
	is.True(err != nil && strings.Contains(err.Error(), "exceeded 32768 bytes"))
}

func TestConflictNamesTheWinner(t *testing.T) {
	is := is.New(t)
	address, _ := server(t, answer(200, `{"header":{"revision":"7"},"responses":[{"response_range":{`+
		`"header":{"revision":"7"},"kvs":[{"key":"aw==","value":"dw==","mod_revision":"5"}]}}]}`))
	_, err := store.New(store.Config{Addresses: []string{address}}).CompareAndSwap(t.Context(), "k", 3, nil, 0)
	var conflict *store.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, store.KV{Key: "k", Value: []byte("w"), Version: 5})
}

func TestValueLimit(t *testing.T) {
	is := is.New(t)
	address, calls := server(t, answer(200, `{"header":{"revision":"7"},"succeeded":true}`))
	c := store.New(store.Config{Addresses: []string{address}})
	_, err := c.CompareAndSwap(t.Context(), "k", 0, make([]byte, store.MaxValue), 0)
	is.NoErr(err)
	_, err = c.CompareAndSwap(t.Context(), "k", 0, make([]byte, store.MaxValue+1), 0)
	var large *store.TooLargeError
	is.True(errors.As(err, &large))
	is.Equal(large.Size, store.MaxValue+1)
	is.Equal(calls.Load(), int64(1)) // the second was not sent
}

func TestWatch(t *testing.T) {
	const created = `{"result":{"header":{"revision":"4"},"created":true}}` + "\n"
	tests := []struct {
		name, body string
		want       []store.KV
		end        string
	}{
		{
			name: "put and removal",
			body: created + `{"result":{"events":[{"kv":{"key":"aw==","value":"dw==","mod_revision":"5"}},` +
				`{"type":"DELETE","kv":{"key":"aw==","mod_revision":"6"}}]}}`,
			want: []store.KV{
				{Key: "k", Value: []byte("w"), Version: 5},
				{Key: "k", Version: 6, Deleted: true},
			},
			end: "unavailable",
		},
		{name: "compacted", body: created + `{"result":{"canceled":true,"compact_revision":"9"}}`, end: "*store.CompactedError"},
		{name: "cancelled", body: created + `{"result":{"canceled":true}}`, end: "unavailable"},
		{name: "error line", body: created + `{"error":{"code":14}}`, end: "unavailable"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address, _ := server(t, answer(200, tt.body))
			var got []store.KV
			c := store.New(store.Config{Addresses: []string{address}})
			err := c.Watch(t.Context(), "k", 4, func(kv store.KV) { got = append(got, kv) })
			is.Equal(kind(err), tt.end)
			is.Equal(got, tt.want)
		})
	}
}

// Guards against waiting without end for a store that accepts a watch and never
// confirms it; the call's timeout ends it.
func TestUnconfirmedWatchTimesOut(t *testing.T) {
	is := is.New(t)
	address, _ := server(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	c := store.New(store.Config{Addresses: []string{address}, Timeout: 50 * time.Millisecond})
	is.Equal(kind(c.Watch(t.Context(), "k", 0, func(store.KV) {})), "unavailable")
}

func FuzzInt64(f *testing.F) {
	for _, s := range []string{`"12"`, `12`, `""`, `"-9223372036854775808"`, `null`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		var i, again wire.Int64
		if i.UnmarshalJSON([]byte(s)) != nil {
			return
		}
		b, err := i.MarshalJSON()
		if err != nil || again.UnmarshalJSON(b) != nil || again != i || !strings.HasPrefix(string(b), `"`) {
			t.Fatalf("%q became %s", s, b)
		}
	})
}
