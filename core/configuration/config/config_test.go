package config_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"verbenashift/core/configuration/config"
)

// sized returns a configuration with that many workspaces and targets.
func sized(workspaces, targets int) config.Config {
	c := config.Config{Revision: 1, Models: []config.Model{{Name: "captions", Version: "2026-11"}}}
	c.Groups = []config.Group{{Name: "group-0", Model: "captions", Ranks: 256, Layers: 60, Experts: 128, SlotsPerRank: 2}}
	for i := range workspaces {
		c.Workspaces = append(c.Workspaces, config.Workspace{
			Name: fmt.Sprintf("workspace-%03d", i), TokenHashes: []string{config.HashToken(fmt.Sprint("token-", i))},
			Share: 1 + float64(i%7), TokensPerSecond: 2500, RequestsPerSecond: 20, Region: "region-1",
		})
	}
	for i := range targets {
		c.Targets = append(c.Targets, config.Target{
			Name: fmt.Sprintf("target-%03d", i), Region: "region-1", Zone: "zone-1", Model: "captions", Version: "2026-11",
			Agent: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Group: "group-0", HonoursFencing: true,
		})
	}
	return c
}

func TestApply(t *testing.T) {
	is := is.New(t)
	cur := sized(2, 2)
	next, err := config.Apply(cur, config.Change{ID: "a", Operator: "abeba", Action: "drain", Edits: []config.Edit{
		{Drain: &config.Drain{Target: "target-001", Drained: true}},
		{Share: &config.Share{Workspace: "workspace-000", Share: 9}},
		{RemoveWorkspace: "workspace-001"},
		{PutModel: &config.Model{Name: "captions", Version: "2026-12"}},
	}})
	is.NoErr(err)
	is.Equal(next.Revision, uint64(2))
	is.Equal(cur.Targets[1].Drained, false) // the revision before stays as it is
	is.Equal(next.Targets[1].Drained, true)
	is.Equal(len(next.Workspaces), 1)
	applied, ok := next.Applied("a")
	is.True(ok)
	is.Equal(applied, config.AppliedChange{ID: "a", Revision: 2, Operator: "abeba"})
	var text []string
	for _, l := range config.Diff(cur, next) {
		text = append(text, l.String())
	}
	is.Equal(text, []string{
		"- workspace workspace-001", "~ workspace workspace-000: share 1 -> 9",
		"~ model captions: version 2026-11 -> 2026-12", "~ target target-001: drained false -> true",
	})
}

func TestApplyBoundsItsHistory(t *testing.T) {
	is := is.New(t)
	cur := sized(0, 0)
	for i := range config.MaxChanges + 10 {
		var err error
		cur, err = config.Apply(cur, config.Change{ID: fmt.Sprint("change-", i)})
		is.NoErr(err)
	}
	is.Equal(len(cur.Changes), config.MaxChanges)
	is.Equal(len(cur.Audit), config.MaxAudit)
	is.Equal(cur.Changes[config.MaxChanges-1].Revision, cur.Revision)
}

func TestValidate(t *testing.T) {
	tests := []struct {
		field string
		edit  func(*config.Config)
	}{
		{"workspaces[1].name", func(c *config.Config) { c.Workspaces[1].Name = "workspace-000" }},
		{"workspaces[0].name", func(c *config.Config) { c.Workspaces[0].Name = "bad name" }},
		{"workspaces[workspace-001].token-hashes", func(c *config.Config) { c.Workspaces[1].TokenHashes = c.Workspaces[0].TokenHashes }},
		{"workspaces[workspace-000].token-hashes", func(c *config.Config) { c.Workspaces[0].TokenHashes = []string{"ABC"} }},
		{"workspaces[workspace-000].share", func(c *config.Config) { c.Workspaces[0].Share = -1 }},
		{"workspaces[workspace-000].max-streams", func(c *config.Config) { c.Workspaces[0].MaxStreams = -1 }},
		{"groups[group-0].slots-per-rank", func(c *config.Config) { c.Groups[0].Ranks = 32 }},
		{"groups[group-0].model", func(c *config.Config) { c.Groups[0].Model = "other" }},
		{"targets[target-000].agent", func(c *config.Config) { c.Targets[0].Agent = "caption-1:9000" }},
		{"targets[target-001].agent", func(c *config.Config) { c.Targets[1].Agent = c.Targets[0].Agent }},
		{"targets[target-000].model", func(c *config.Config) { c.Targets[0].Service = "desk" }},
		{"targets[target-000].group", func(c *config.Config) { c.Targets[0].Group = "none" }},
		{"targets[target-000].role", func(c *config.Config) { c.Targets[0].Role = "both" }},
		{"targets[target-000].zone", func(c *config.Config) { c.Targets[0].Zone = "" }},
		{"services[desk].routes[0].prefix", func(c *config.Config) {
			c.Services = []config.Service{{Name: "desk", Routes: []config.Route{{Prefix: "/a/../b"}}}}
		}},
		{"services[desk].routes[0].method", func(c *config.Config) {
			c.Services = []config.Service{{Name: "desk", Routes: []config.Route{{Prefix: "/", Method: "post"}}}}
		}},
		{"operators[abeba].role", func(c *config.Config) {
			c.Operators = []config.Operator{{Name: "abeba", Role: "root", TokenHash: config.HashToken("x")}}
		}},
	}
	is.New(t).NoErr(config.Validate(sized(2, 2)))
	for _, tt := range tests {
		t.Run(tt.field, func(t *testing.T) {
			is := is.New(t)
			c := sized(2, 2)
			tt.edit(&c)
			var invalid *config.InvalidError
			is.True(errors.As(config.Validate(c), &invalid))
			is.Equal(invalid.Field, tt.field)
			is.True(invalid.Want != "")
		})
	}
}

// Guards against the removal of the last administrator, after which permissions
// could be changed only with the bootstrap token.
func TestLastAdminStays(t *testing.T) {
	is := is.New(t)
	cur := sized(1, 1)
	cur.Operators = []config.Operator{{Name: "abeba", Role: config.RoleAdmin, TokenHash: config.HashToken("x")}}
	for _, e := range []config.Edit{{RemoveOperator: "abeba"}, {Replace: &config.Config{}}} {
		var invalid *config.InvalidError
		_, err := config.Apply(cur, config.Change{ID: "a", Edits: []config.Edit{e}})
		is.True(errors.As(err, &invalid))
		is.Equal(invalid.Field, "operators")
	}
}

// TestSize prints the sizes with 930 workspaces, 670 targets and a full
// history, and checks that they stay below half of the store's limit.
func TestSize(t *testing.T) {
	is := is.New(t)
	c := sized(0, 0)
	for i := range config.MaxChanges {
		var err error
		c, err = config.Apply(c, config.Change{ID: fmt.Sprintf("closing-%d.1/confirm/ABCDEFGHIJKLMNOPQRSTUVWXYZ", i), Operator: "abeba", Action: "confirm plan", UnixMillis: 1})
		is.NoErr(err)
	}
	full := sized(930, 670)
	c.Workspaces, c.Targets = full.Workspaces, full.Targets
	text, err := config.Encode(c)
	is.NoErr(err)
	packed, err := config.EncodeGzip(c)
	is.NoErr(err)
	t.Logf("JSON %d bytes, gzip %d bytes", len(text), len(packed))
	is.True(len(text) < config.MaxBytes/2)
	for _, data := range [][]byte{text, packed} {
		back, err := config.Decode(data)
		is.NoErr(err)
		is.Equal(back, c)
	}
}

// bomb is two megabytes of spaces in a few kilobytes.
func bomb(is *is.I) []byte {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, err := w.Write(bytes.Repeat([]byte(" "), 64*config.MaxBytes))
	is.NoErr(err)
	is.NoErr(w.Close())
	return buf.Bytes()
}

// Guards against a peer whose few kilobytes expand without limit and exhaust
// the node's memory: the decompressed size is bounded.
func TestDecodeIsBounded(t *testing.T) {
	is := is.New(t)
	c := sized(1, 1)
	c.Models[0].Adapters = []string{strings.Repeat("a", 2<<20)}
	var large *config.TooLargeError
	_, err := config.EncodeGzip(c)
	is.True(errors.As(err, &large))
	hostile := bomb(is)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = config.Decode(hostile)
	runtime.ReadMemStats(&after)
	is.True(errors.As(err, &large))
	is.True(after.TotalAlloc-before.TotalAlloc < 32*config.MaxBytes) // it was not read to its end
}

func TestDecodeStrict(t *testing.T) {
	is := is.New(t)
	_, err := config.DecodeStrict([]byte(`{"workspace": []}`))
	is.True(err != nil)
	_, err = config.DecodeStrict([]byte(`{} {}`))
	is.True(err != nil)
	_, err = config.Decode([]byte(`{"revision": 3, "later-field": 1}`))
	is.NoErr(err)
}

func TestIndex(t *testing.T) {
	is := is.New(t)
	c := sized(3, 2)
	c.Services = []config.Service{{Name: "booking", Routes: []config.Route{
		{Method: http.MethodPost, Prefix: "/bookings", MayNotRepeat: true},
		{Prefix: "/bookings/drafts"},
		{Method: http.MethodPost, Prefix: "/pings"},
	}}}
	x := config.NewIndex(c)
	w, ok := x.WorkspaceByToken("token-2")
	is.True(ok)
	is.Equal(w.Name, "workspace-002")
	c.Workspaces[0].TokenHashes = append(c.Workspaces[0].TokenHashes, config.HashToken(""))
	x = config.NewIndex(c)
	for _, token := range []string{"", "token-3", config.HashToken("token-2")} {
		_, ok = x.WorkspaceByToken(token)
		is.True(!ok)
	}
	is.Equal(len(x.TargetsOfModel("captions")), 2)
	marks := []struct {
		method, path string
		want         bool
	}{
		{"POST", "/bookings", true},
		{"POST", "/bookings/12", true},
		{"POST", "/x/../bookings", true}, // the same path in another form
		{"POST", "//bookings", true},
		{"POST", "/bookings/drafts/1", false},
		{"POST", "/bookings/drafts/../12", true},
		{"POST", "/pings", false},
		{"POST", "/bookingsx", true}, // no route: not idempotent by its method
		{"GET", "/bookings", false},
	}
	for _, m := range marks {
		is.Equal(x.MayNotRepeat("booking", m.method, m.path), m.want) // mark of a route
	}
}

// Guards against work on a drained target after an old message: revision 5 is
// in force when revision 4 arrives from a peer that was partitioned.
func TestTrackerNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var tr config.Tracker
	now := time.UnixMilli(1000)
	is.True(tr.Offer(config.Config{Revision: 5, ChangeID: "a"}, now))
	is.True(!tr.Offer(config.Config{Revision: 4, ChangeID: "b"}, now))
	is.True(!tr.Offer(config.Config{Revision: 5, ChangeID: "c"}, now))
	cur, _ := tr.Current()
	is.Equal(cur.ChangeID, "a")
	is.Equal([]uint64{tr.Older, tr.Forks}, []uint64{1, 1})
	for i := range uint64(config.MaxHistory + 3) {
		tr.Offer(config.Config{Revision: 6 + i}, now)
	}
	is.Equal(len(tr.History()), config.MaxHistory)
}

func TestIsWatcher(t *testing.T) {
	is := is.New(t)
	var zone []string
	for i := range 118 {
		zone = append(zone, fmt.Sprint("node-", i))
	}
	chosen := 0
	for _, name := range zone {
		if config.IsWatcher(name, zone, 2) {
			chosen++
		}
	}
	is.Equal(chosen, 2)
	is.True(!config.IsWatcher("stranger", zone, 2))
}

// Guards against two revisions that share a list, made by two changes of the
// same revision as when two operators race. The second would overwrite the
// record of the first, and a lost answer would be resolved with the wrong change.
func TestRevisionsShareNoList(t *testing.T) {
	is := is.New(t)
	cur := sized(1, 1)
	apply := func(id string) config.Config {
		next, err := config.Apply(cur, config.Change{ID: id})
		is.NoErr(err)
		return next
	}
	for _, id := range []string{"a", "b", "c"} {
		cur = apply(id)
	}
	first := apply("first")
	apply("second")
	_, ok := first.Applied("first")
	is.True(ok)
}
