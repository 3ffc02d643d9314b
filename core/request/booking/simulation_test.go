package booking

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"verbenashift/core/request/outcome"
)

// TestMain fixes the seed and the size of the random tests. Command-line flags take precedence,
// as in go test -rapid.seed=0 -rapid.checks=100000.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "7", "rapid.checks": "5000", "rapid.steps": "120", "rapid.nofailfile": "true", "rapid.shrinktime": "10s",
	} {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// node is one agent with its successive processes.
type node struct {
	name    string
	inc     uint64
	up      bool
	started time.Duration
	home    *Home
	exec    *Executor
	backups *Backups
	revised int
	seals   []string
}

// attempt is one request at an entry. The entry submits each grant once.
type attempt struct {
	key    Key
	body   Digest
	id     string
	before int
	call   int64
	held   Answer
	until  time.Duration
	phase  phase
}

type phase int

const (
	claiming phase = iota
	resolving
	submitted
	finished
)

type message struct {
	to     string
	s      Submission
	until  time.Duration
	copies int
	from   *attempt
}

type execution struct {
	id, at string
	start  time.Duration
	end    time.Duration
}

// simulation holds the agents, the network and the oracle, which knows only the runs of each
// key.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	limits   Limits
	lists    []Generation
	listed   []time.Duration
	nodes    []*node
	attempts []*attempt
	net      []*message
	bodies   map[string]Digest
	runs     map[Key][]*execution
	notRun   map[string]bool
	ops      []porcupine.Operation
	next     uint64
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, bodies: map[string]Digest{}, runs: map[Key][]*execution{}, notRun: map[string]bool{},
		limits: Limits{Retention: 2 * time.Minute, MaxRun: 30 * time.Second, GrantLife: 20 * time.Second, ConfigLag: 15 * time.Second, MaxKeys: rapid.SampledFrom([]int{3, 64}).Draw(t, "max-keys")},
		lists:  []Generation{{Revision: 1, Names: []string{"a", "b", "c"}}},
		listed: []time.Duration{0},
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		n := &node{name: name}
		w.nodes = append(w.nodes, n)
		w.boot(n, true)
	}
	return w
}

func (w *simulation) clock(n *node) time.Duration { return w.now - n.started }

func (w *simulation) boot(n *node, first bool) {
	w.next++
	n.inc, n.up, n.started, n.backups = w.next, true, w.now, &Backups{Limits: w.limits}
	n.home = &Home{Name: n.name, Incarnation: n.inc, First: first, Limits: w.limits}
	n.exec = &Executor{Name: n.name, Incarnation: n.inc, First: first, Limits: w.limits}
	n.revised = 0
	w.configure(n)
	for _, other := range w.nodes {
		if h, ok := other.backups.Take(n.name, n.inc, w.clock(other)); ok && other.up && !first {
			n.home.Import(h.Home, 0)
			n.exec.Import(h.Executor, 0)
		}
	}
	n.seals = n.home.Rebuild(0)
	w.t.Logf("%v boot %s/%d imported %d", w.now, n.name, n.inc, n.home.rebuild.imported)
}

func (w *simulation) configure(n *node) {
	for _, g := range w.lists[n.revised:] {
		n.home.Configure(g, w.clock(n))
	}
	n.revised = len(w.lists)
}

func (w *simulation) node(name string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })]
}

// stop ends the process of a node and everything that runs there.
func (w *simulation) stop(n *node) {
	n.up = false
	for _, runs := range w.runs {
		for _, r := range runs {
			if r.at == n.name && r.end == Forever {
				r.end = w.now
			}
		}
	}
}

// ran is the oracle: it checks a start against the earlier runs of the key.
func (w *simulation) ran(n *node, key Key, id string) {
	if w.recent(w.runs[key]) {
		w.t.Fatalf("key %x runs twice, now by %s at %s", key[0], id, n.name)
	}
	if w.notRun[id] {
		w.t.Fatalf("request %s runs after its caller was told not-run", id)
	}
	w.t.Logf("%v run %x %s at %s/%d", w.now, key[0], id, n.name, n.inc)
	w.record(id, key, ran, id)
	w.runs[key] = append(w.runs[key], &execution{id: id, at: n.name, start: w.now, end: Forever})
}

// recent reports whether one of the runs is still within its retention.
func (w *simulation) recent(runs []*execution) bool {
	return slices.ContainsFunc(runs, func(r *execution) bool {
		return r.end == Forever || w.now-r.end < w.limits.Retention
	})
}

func (w *simulation) finish(y *attempt, o outcome.Outcome, why string) {
	y.phase = finished
	w.t.Logf("%v over %x %s %s %s", w.now, y.key[0], y.id, o, why)
	if o != outcome.NotRun {
		return
	}
	w.notRun[y.id] = true
	if why != Mismatch.String() {
		w.record(y.id, y.key, neverRan, "")
	}
	if w.recent(w.runs[y.key][:y.before]) && why != Mismatch.String() {
		w.t.Fatalf("%s was told not-run (%s), but its key ran before", y.id, why)
	}
	for _, r := range w.runs[y.key] {
		if r.id == y.id {
			w.t.Fatalf("%s was told not-run (%s), but it ran", y.id, why)
		}
	}
}

// claim is the adapter of a home: it fetches the records of previous homes.
func (w *simulation) claim(n *node, c Claim) Answer {
	answer := n.home.Claim(c, w.clock(n))
	if answer.Kind != NeedTransfer {
		return answer
	}
	for _, name := range answer.From {
		from := w.node(name)
		if !from.up || w.chance("transfer-lost") {
			return Answer{Kind: Unknown, Reason: ReasonUnreachable}
		}
		a := from.home.Transfer(Transfer{c.Key, n.home.current.Revision}, w.clock(from))
		if w.chance("transfer-answer-lost") {
			return Answer{Kind: Unknown, Reason: ReasonUnreachable}
		}
		n.home.Transferred(c.Key, name, a, w.clock(n))
	}
	answer = n.home.Claim(c, w.clock(n))
	if answer.Kind == NeedTransfer {
		return Answer{Kind: Unknown, Reason: ReasonUnreachable}
	}
	return answer
}

// chance draws a rare fault.
func (w *simulation) chance(label string) bool { return rapid.IntRange(0, 7).Draw(w.t, label) == 7 }

// step advances an attempt by one call, whose answer may be lost.
func (w *simulation) step(y *attempt) {
	if y.phase == claiming {
		w.stepClaim(y)
		return
	}
	w.stepResolve(y)
}

func (w *simulation) stepClaim(y *attempt) {
	list := w.lists[len(w.lists)-1]
	if len(w.lists) > 1 && w.chance("entry-behind") {
		list = w.lists[len(w.lists)-2]
	}
	home := w.node(HomeOf(y.key, list.Names))
	executor := w.node(rapid.SampledFrom(list.Names).Draw(w.t, "executor"))
	if !home.up {
		w.finish(y, outcome.Unknown, "home-down")
		return
	}
	c := Claim{Key: y.key, Body: y.body, RequestID: y.id, Executor: executor.name, ExecutorIncarnation: executor.inc, Revision: list.Revision}
	answer := w.claim(home, c)
	w.t.Logf("%v claim %x %s revision %d home %s/%d: %s %s/%d attempt %d", w.now, y.key[0], y.id, list.Revision,
		home.name, home.inc, answer.Kind, answer.Executor, answer.ExecutorIncarnation, answer.Grant.Attempt)
	if w.chance("claim-answer-lost") {
		return
	}
	y.held, y.until = answer, w.now+w.limits.GrantLife
	switch answer.Kind {
	case Granted:
		y.phase = submitted
		s := Submission{Grant: answer.Grant, Body: y.body, RequestID: y.id, Incarnation: answer.ExecutorIncarnation}
		w.net = append(w.net, &message{to: answer.Executor, s: s, until: y.until, copies: 2, from: y})
	case Held:
		y.phase = resolving
	default:
		w.finish(y, answer.Outcome(), answer.Kind.String())
	}
}

func (w *simulation) stepResolve(y *attempt) {
	n := w.node(y.held.Executor)
	if !n.up || w.now > y.until {
		w.finish(y, outcome.Unknown, "executor-down")
		return
	}
	s := n.exec.Resolve(Query{y.held.Grant, y.held.ExecutorIncarnation, y.body}, w.clock(n))
	w.t.Logf("%v resolve %x %s at %s/%d: %d %s", w.now, y.key[0], y.id, n.name, n.inc, s.Kind, s.State)
	switch {
	case s.Kind == Known && s.State != AnswerLost:
		if w.bodies[s.RequestID] != y.body {
			w.t.Fatalf("%s was attached to %s, which has another body", y.id, s.RequestID)
		}
		if s.State != Queued {
			w.record(y.id, y.key, attached, s.RequestID)
		}
		w.finish(y, outcome.Complete, "attached")
	case s.Kind == NeverRan:
		if home := w.node(y.held.Grant.Home); home.up && !w.chance("release-lost") {
			home.home.Release(s.Proof, w.clock(home))
		}
		y.phase = claiming
	default:
		w.finish(y, outcome.Unknown, "resolved")
	}
}

// deliver passes a submission to its executor, possibly a second time.
func (w *simulation) deliver(l *message) {
	n := w.node(l.to)
	l.copies--
	if !n.up || w.now > l.until {
		return
	}
	v := n.exec.Accept(l.s, w.clock(n))
	w.t.Logf("%v accept %x %s at %s/%d: %d %s", w.now, l.s.Grant.Key[0], l.s.RequestID, n.name, n.inc, v.Kind, v.Reason)
	if v.Kind == Refuse && l.copies == 1 && l.from.phase == submitted && !w.chance("refusal-lost") {
		w.finish(l.from, outcome.NotRun, v.Reason)
		l.copies = 0
	}
}
