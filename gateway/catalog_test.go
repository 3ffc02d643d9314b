package main

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
)

func testCatalog() *catalog {
	zero := 0
	return newCatalog(&deployment.Config{
		Version: 1,
		Routes: []deployment.Route{
			{Name: "wide", Host: "a.example", Prefix: "/x/"},
			{Name: "narrow", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/", Public: true},
		},
		Workspaces: []deployment.Workspace{{Name: "w", Keys: []string{"k1", "k2"}, Priority: &zero}},
	})
}

func TestRouteIsTheLongestPrefix(t *testing.T) {
	c := testCatalog()
	for _, want := range []struct{ host, path, name string }{
		{"a.example", "/x/1", "wide"},
		{"a.example", "/x/y/1", "narrow"},
		{"a.example", "/x/yy", "wide"},
		{"a.example", "/x", ""},
		{"b.example", "/x/1", "other"},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := c.route(want.host, want.path); r != nil {
			got = r.Name
		}
		if got != want.name {
			t.Errorf("%s%s: route %q, want %q", want.host, want.path, got, want.name)
		}
	}
}

// Guards against accepting a removed key, and against refusing a public route.
func TestKeys(t *testing.T) {
	is := is.New(t)
	c := testCatalog()
	private, public := c.route("a.example", "/x/1"), c.route("b.example", "/")
	w, ok := c.workspace(private, "k2")
	is.True(ok)
	is.Equal(w.Name, "w")
	is.Equal(c.urgency("only", private, w), 0)
	_, ok = c.workspace(private, "gone")
	is.True(!ok)
	_, ok = c.workspace(private, "")
	is.True(!ok)
	w, ok = c.workspace(public, "")
	is.True(ok)
	is.Equal(w, nil)
	w, ok = c.workspace(public, "k1")
	is.True(ok)
	is.Equal(w.Name, "w")
}

func TestSplitByWeight(t *testing.T) {
	is := is.New(t)
	r := &deployment.Route{Split: []deployment.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	rng := rand.New(rand.NewPCG(1, 2))
	n := map[string]int{}
	for range 10000 {
		n[service(r, rng)]++
	}
	is.True(n["a"] > 8800 && n["a"] < 9200)
	is.Equal(n["c"], 0)
	is.Equal(service(&deployment.Route{Split: []deployment.Share{{Service: "only"}}}, rng), "only")
}

// Guards against passing on an incomplete event.
func TestEventsAreWhole(t *testing.T) {
	is := is.New(t)
	var e events
	text := "id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\nda"
	var got []string
	for i := range len(text) {
		e.add([]byte{text[i]})
		for ev := e.next(); ev != nil; ev = e.next() {
			got = append(got, string(ev))
		}
	}
	is.Equal(got, []string{"id: 7\ndata: a\n\n", "id: 8\ndata: b\n\n"})
	is.True(e.partial())
	is.Equal(eventID([]byte(got[1])), int64(8))
	is.Equal(eventID([]byte("data: x\n\n")), int64(-1))
	is.Equal(eventID([]byte("id: x\n\n")), int64(-1))
}
