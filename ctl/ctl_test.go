package main

import (
	"bytes"
	"context"
	"encoding/pem"
	"flag"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/operator"
	"verbenashift/core/configuration/store"
)

var update = flag.Bool("update", false, "write the golden files")

// fleet is an in-memory deployment: a store, nodes and a transport to the API.
type fleet struct {
	keys    map[string]store.KV
	version int64
	nodes   []operator.Node
	// statusCalls counts status calls; catchUp is the call at which all nodes have
	// revision 9 in force.
	statusCalls, catchUp int
	handler              http.Handler
}

func newFleet() *fleet {
	f := &fleet{keys: map[string]store.KV{}, nodes: []operator.Node{
		{Name: "entry-1", Kind: operator.KindEntry, Zone: "bole", Incarnation: 7},
		{Name: "caption-1", Kind: operator.KindAgent, Zone: "merkato", Queued: 812, Running: 3, AgeMillis: 410},
	}}
	f.handler = operator.New(operator.Deps{Store: f, Fleet: f, BootstrapHash: config.HashToken("secret")})
	return f
}

func (f *fleet) Get(_ context.Context, key string) (store.KV, error) { return f.keys[key], nil }

func (f *fleet) List(_ context.Context, prefix string) ([]store.KV, error) {
	var kvs []store.KV
	for k, kv := range f.keys {
		if strings.HasPrefix(k, prefix) {
			kvs = append(kvs, kv)
		}
	}
	return kvs, nil
}

func (f *fleet) CompareAndSwap(_ context.Context, key string, version int64, value []byte, _ int64) (int64, error) {
	if cur := f.keys[key]; cur.Version != version {
		return 0, &store.ConflictError{Key: key, Current: cur}
	}
	f.version++
	f.keys[key] = store.KV{Key: key, Value: value, Version: f.version}
	return f.version, nil
}

func (f *fleet) Status(context.Context) (operator.FleetStatus, error) {
	f.statusCalls++
	if f.statusCalls == f.catchUp {
		for i := range f.nodes {
			f.nodes[i].Revision = 9
		}
	}
	groups := []operator.GroupStatus{{
		Name: "captions", State: "steady", MapVersion: 4, Step: 1200, Skew: 1.31, Coordinator: "caption-1",
		Fence: 25, Reason: "gain-below-cost", Explanation: "not moving: expected skew 1.310", Moves: 84, Bytes: 5505024,
		MeanSkew: 1.25, MaxSkew: 1.5, Skews: []float64{1.5, 1.25, 1, 1.31}, AgeMillis: 410,
		Waiting: []operator.RankStatus{{Target: "caption-2", Health: "dead", Lost: true}},
	}}
	return operator.FleetStatus{Nodes: f.nodes, Groups: groups}, nil
}

// RoundTrip answers a request without a network.
func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// ctl runs one command line as the administrator.
func (f *fleet) ctl(ctx context.Context, args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	p := &program{in: strings.NewReader(""), out: &stdout, err: &stderr, transport: f}
	code = p.run(ctx, append([]string{"ctl", "-token", "secret"}, args...))
	return code, stdout.String(), stderr.String()
}

// golden compares text with the golden file name; -update writes the file.
func golden(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join("testdata", name+".golden")
	if *update {
		is.NoErr(os.WriteFile(file, []byte(text), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(text, string(want))
}

func TestTables(t *testing.T) {
	commands := []struct{ name, line string }{
		{"config-put", "config put testdata/first.json"},
		{"config-put-dry-run", "config put testdata/second.json -dry-run"},
		{"config-show", "config show"},
		{"intent-declare", "intent declare -name month-end -preset lakeshore -model captions -target caption-2 -share bole-studios=3"},
		{"intent-declare-file", "intent declare testdata/year-end.json"},
		{"plan-confirm", "plan confirm month-end.1"},
		{"plan-abandon", "plan abandon year-end.1"},
		{"plan-show", "plan show month-end.1"},
		{"plan-show-json", "-output json plan show month-end.1"},
		{"intent-list", "intent list"},
		{"intent-show", "intent show month-end"},
		{"target-drain", "target drain caption-1"},
		{"target-undrain", "target undrain caption-1"},
		{"target-list", "target list"},
		{"zone-evacuate", "zone evacuate merkato -force"},
		{"zone-list", "zone list"},
		{"zone-restore", "zone restore merkato"},
		{"workspace-put", "workspace put merkato-sellers -share 2 -token-hash " + config.HashToken("caller")},
		{"workspace-list", "workspace list"},
		{"group-show", "group show captions"},
		{"config-history", "config history"},
		{"status", "status"},
	}
	// The bubble's fake clock makes the times in the history reproducible.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		for _, c := range commands {
			code, out, errs := f.ctl(t.Context(), append(strings.Fields(c.line), "-request-id", c.name)...)
			is.Equal(errs, "")
			is.Equal(code, exitOK)
			golden(t, c.name, out)
		}
	})
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	code, _, errs := f.ctl(t.Context(), "config", "put", "testdata/first.json")
	is.Equal([]any{code, errs}, []any{exitOK, ""})
	for _, name := range []string{"a", "b"} {
		code, _, _ = f.ctl(t.Context(), "intent", "declare", "-name", name, "-share", "bole-studios=2")
		is.Equal(code, exitOK)
	}
	code, _, _ = f.ctl(t.Context(), "plan", "confirm", "a.1")
	is.Equal(code, exitOK)
	tests := []struct {
		line string
		code int
		says string
	}{
		{"plan confirm b.1", exitConflict, "plan a.1 by bootstrap made revision 2 first"},
		{"plan abandon a.1", exitConflict, "plan a.1 is confirmed"},
		{"config put testdata/second.json -base 1", exitConflict, "made revision 2 first"},
		{"plan show c.1", exitNotFound, `plan "c.1" not found`},
		{"target drain nowhere", exitNotFound, `target "nowhere" not found`},
		{"zone evacuate nowhere", exitFailure, `evacuate.zone is "nowhere": want a zone that has targets, unless forced`},
		{"zone evacuate merkato", exitFailure, `want another zone with a target of captions, unless forced`},
		{"zone restore bole", exitNotFound, `evacuated zone "bole" not found`},
		{"plan show", exitUsage, "0 arguments given, want 1"},
		{"plan shoe", exitUsage, `unknown command "shoe"`},
		{"shoe", exitUsage, `unknown command "shoe"`},
		{"status -nothing", exitUsage, "nothing"},
		{"status -output xml", exitUsage, "want json or table"},
		{"intent declare -name x -share bole", exitUsage, "want WORKSPACE=SHARE"},
		{"intent declare testdata/first.json", exitUsage, "unknown field"},
		{"config put testdata/none.json", exitFailure, "no such file"},
		{"-token wrong status", exitFailure, "missing or unknown token"},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			is := is.New(t)
			code, _, errs := f.ctl(t.Context(), strings.Fields(tt.line)...)
			is.True(strings.Contains(errs, tt.says)) // message
			is.Equal(code, tt.code)
		})
	}
}

func TestNoServer(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	p := &program{in: strings.NewReader(""), out: &out, err: &errs, transport: broken{}}
	is.Equal(p.run(t.Context(), []string{"ctl", "plan", "confirm", "a.1"}), exitUnavailable)
	is.True(strings.Contains(errs.String(), "may have taken effect"))
	is.Equal(p.run(t.Context(), []string{"ctl", "status"}), exitUnavailable)
}

// broken is a transport that fails every request.
type broken struct{}

func (broken) RoundTrip(*http.Request) (*http.Response, error) { return nil, http.ErrServerClosed }

// silent is a transport that delivers a request but never returns a response.
type silent struct{}

func (silent) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// The server receives a confirmation and does not respond before the timeout. Exit
// code 1 would mean "not done", but the confirmation may have taken effect.
func TestTimeoutIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out, errs bytes.Buffer
		p := &program{in: strings.NewReader(""), out: &out, err: &errs, transport: silent{}}
		is.Equal(p.run(t.Context(), []string{"ctl", "plan", "confirm", "a.1", "-timeout", "3s"}), exitUnavailable)
		is.True(strings.Contains(errs.String(), "may have taken effect"))
	})
}

// An entry's certificate is issued by a private CA. Without -ca-file the connection
// must fail; with it, the command must succeed.
func TestCAFile(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewTLSServer(newFleet().handler)
	defer srv.Close()
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	file := filepath.Join(t.TempDir(), "ca.pem")
	data := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw})
	is.NoErr(os.WriteFile(file, data, 0o600))
	run := func(args ...string) int {
		p := &program{in: strings.NewReader(""), out: io.Discard, err: io.Discard}
		return p.run(t.Context(), append([]string{"ctl", "-token", "secret", "-server", srv.URL}, args...))
	}
	is.Equal(run("status"), exitUnavailable)
	is.Equal(run("status", "-ca-file", file), exitOK)
	is.Equal(run("status", "-ca-file", "testdata/first.json"), exitUsage)
}

func TestWaitRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		f.catchUp = 5
		code, out, errs := f.ctl(t.Context(), "status", "-wait-revision", "9")
		is.Equal([]any{code, errs}, []any{exitOK, ""})
		is.Equal(f.statusCalls, 5)
		is.True(strings.Contains(out, "caption-1  agent  merkato  9"))
		code, _, errs = f.ctl(t.Context(), "status", "-wait-revision", "10", "-timeout", "3s")
		is.Equal(code, exitUnavailable)
		is.True(strings.Contains(errs, "in force on 0 of 2 nodes only"))
	})
}
