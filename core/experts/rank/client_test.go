package rank_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
	"verbenashift/core/membership/lease"
	"verbenashift/core/plumbing/answers"
)

func order() rank.Order {
	p := rank.Placement{{0, 1}}
	return rank.Order{Placement: p, Order: group.Order{
		Number: lease.Number{Fence: 7, Sequence: 9}, Kind: group.LoadMap, Version: p.Version(),
	}}
}

// serve returns a client of a rank that answers with h.
func serve(t *testing.T, h http.HandlerFunc) *rank.Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return rank.NewClient(strings.TrimPrefix(s.URL, "http://"), rank.Options{OrderToken: "t"})
}

func TestApply(t *testing.T) {
	for _, tt := range []struct {
		name    string
		status  int
		body    string
		refused string
		fails   bool
	}{
		{"applied", http.StatusOK, "{}", "", false},
		{"refused", http.StatusConflict, `{"error":"stale-fence","fence":8}`, "stale-fence", true},
		{"broken engine", http.StatusInternalServerError, "", "", true},
		{"conflict of something else", http.StatusConflict, "no", "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var got string
			c := serve(t, func(w http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				got = r.Header.Get("Authorization") + " " + string(data)
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			})
			err := c.Apply(t.Context(), order())
			is.Equal(err != nil, tt.fails)
			var refused *group.RefusedError
			is.Equal(errors.As(err, &refused), tt.refused != "")
			if refused != nil {
				is.Equal(refused.Reason, tt.refused)
			}
			is.True(strings.HasPrefix(got, `Bearer t {"fence":7,"sequence":9,"kind":"set-map","argument":{"number":`))
		})
	}
}

// Guards against a client that resends an order by itself after the connection to
// an engine failed: the second copy could arrive after a newer order, without the
// agent's knowledge.
func TestOrderIsSentOnce(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int32
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == rank.StatePath {
			_, _ = io.WriteString(w, `{"version":3,"stalls":2}`)
			return
		}
		sent.Add(1)
		panic(http.ErrAbortHandler)
	})
	s, err := c.State(t.Context()) // opens a connection that is then reused
	is.NoErr(err)
	is.Equal(s.Version, group.Version(3))
	is.True(c.Apply(t.Context(), order()) != nil)
	is.Equal(sent.Load(), int32(1))
}

func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = rank.NewClient(l.Addr().String(), rank.Options{}).State(t.Context())
	is.True(rank.ConnectionRefused(err))
}

func TestVersionIsAHashOfTheContent(t *testing.T) {
	is := is.New(t)
	a := rank.Placement{{0, 1}, {2, 3}}
	is.Equal(a.Version(), rank.Placement{{0, 1}, {2, 3}}.Version())
	for _, b := range []rank.Placement{{{0, 1, 2, 3}}, {{0}, {1, 2, 3}}, {{2, 3}, {0, 1}}, {}} {
		is.True(a.Version() != b.Version())
	}
}

// Guards against acting on a response with an invalid header line.
func TestMalformedHead(t *testing.T) {
	is := is.New(t)
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\n{}")
	})
	var invalid *answers.InvalidError
	_, err := c.State(t.Context())
	is.True(errors.As(err, &invalid))
	is.True(errors.As(c.Apply(t.Context(), order()), &invalid))
}

// Guards against an agent that is killed for its memory because a rank sends a response without end.
func TestResponseWithoutEnd(t *testing.T) {
	is := is.New(t)
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"layers":[["`)
		part := strings.Repeat("x", 64<<10)
		for sent := 0; err == nil && sent < 16<<20; sent += len(part) {
			_, err = io.WriteString(w, part)
		}
	})
	for _, call := range map[string]func() error{
		"state": func() error { _, err := c.State(t.Context()); return err },
		"loads": func() error { _, err := c.Loads(t.Context()); return err },
		"map":   func() error { _, err := c.Map(t.Context(), 1); return err },
	} {
		var tooLong *http.MaxBytesError
		is.True(errors.As(call(), &tooLong))
	}
	head := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("A", strings.Repeat("x", 64<<10)) })
	_, err := head.State(t.Context())
	is.True(err != nil && strings.Contains(err.Error(), "exceeded"))
}
