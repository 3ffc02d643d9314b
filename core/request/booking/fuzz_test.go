package booking

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against running a key twice, or a false "not run", under random orders of lost
// answers, attempts at other entries, crashes without records, drains with handover, late and
// duplicate submissions and changes of the target list. The oracle observes only the runs at
// the executors, not the registers.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(w.actions())
	})
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"try":     w.doTry,
		"step":    w.doStep,
		"step-2":  w.doStep,
		"step-3":  w.doStep,
		"deliver": w.doDeliver,
		"give-up": w.doGiveUp,
		"start":   w.doStart,
		"end":     w.doEnd,
		"seal":    w.doSeal,
		"seal-2":  w.doSeal,
		"crash":   w.doCrash,
		"drain":   w.doDrain,
		"boot":    w.doBoot,
		"list":    w.doList,
		"learn":   w.doLearn,
		"time":    w.doTime,
	}
}

// pick draws one of the items that satisfy a condition.
func pick[T any](t *rapid.T, items []T, ok func(T) bool) T {
	var fit []T
	for _, item := range items {
		if ok(item) {
			fit = append(fit, item)
		}
	}
	if len(fit) == 0 {
		t.Skip("nothing to pick")
	}
	return fit[rapid.IntRange(0, len(fit)-1).Draw(t, "pick")]
}

func isUp(n *node) bool { return n.up }

func (w *simulation) doTry(t *rapid.T) {
	key := KeyOf("lightbox", rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key"))
	body := Digest{byte(rapid.IntRange(0, 5).Draw(t, "body") / 5)}
	y := &attempt{key: key, body: body, id: fmt.Sprintf("r%d", len(w.attempts)), before: len(w.runs[key]), call: w.tick()}
	w.attempts = append(w.attempts, y)
	w.bodies[y.id] = body
}

func (w *simulation) doStep(t *rapid.T) {
	w.step(pick(t, w.attempts, func(y *attempt) bool { return y.phase < submitted }))
}

func (w *simulation) doGiveUp(t *rapid.T) {
	pick(t, w.attempts, func(y *attempt) bool { return y.phase == submitted }).phase = finished
}

func (w *simulation) doDeliver(t *rapid.T) {
	w.deliver(pick(t, w.net, func(l *message) bool { return l.copies > 0 }))
}

func (w *simulation) doStart(t *rapid.T) {
	n := pick(t, w.nodes, func(n *node) bool { return n.up && len(keysIn(n.exec, Queued)) > 0 })
	for _, key := range keysIn(n.exec, Queued) {
		id := n.exec.runs.records[key].requestID
		if w.chance("withdraw") {
			n.exec.Withdraw(key, w.clock(n))
			continue
		}
		if n.exec.Start(key, w.clock(n)) {
			w.ran(n, key, id)
		}
	}
}

func (w *simulation) doEnd(t *rapid.T) {
	n := pick(t, w.nodes, func(n *node) bool { return n.up && len(keysIn(n.exec, Running)) > 0 })
	for _, key := range keysIn(n.exec, Running) {
		w.end(n, key)
	}
}

func (w *simulation) end(n *node, key Key) {
	n.exec.End(key, w.clock(n))
	for _, r := range w.runs[key] {
		if r.end == Forever && r.at == n.name {
			r.end = w.now
		}
	}
}

func (w *simulation) doSeal(t *rapid.T) {
	n := pick(t, w.nodes, func(n *node) bool { return n.up && len(n.seals) > 0 })
	name := rapid.SampledFrom(n.seals).Draw(t, "executor")
	if e := w.node(name); e.up {
		answer := e.exec.SealHome(Seal{n.name, n.inc}, w.clock(e))
		if w.chance("seal-answer-lost") {
			return
		}
		n.home.SealAnswered(name, answer, w.clock(n))
		n.seals = slices.DeleteFunc(n.seals, func(s string) bool { return s == name })
	}
}

func (w *simulation) doCrash(t *rapid.T) {
	n := pick(t, w.nodes, isUp)
	if w.chance("crash") {
		w.stop(n)
	}
}

func (w *simulation) doDrain(t *rapid.T) {
	n := pick(t, w.nodes, isUp)
	if !w.chance("drain") {
		return
	}
	h := Handover{n.home.Export(w.clock(n)), n.exec.Export(w.clock(n))}
	w.stop(n)
	to := pick(t, w.nodes, func(*node) bool { return true })
	if to.up {
		to.backups.Put(h, w.clock(to))
	}
}

func (w *simulation) doBoot(t *rapid.T) {
	w.boot(pick(t, w.nodes, func(n *node) bool { return !n.up }), false)
}

func (w *simulation) doList(t *rapid.T) {
	if len(w.lists) > 4 || !w.chance("list") {
		return
	}
	names := rapid.SampledFrom([][]string{{"a", "b", "c"}, {"a", "b", "c", "d"}, {"b", "c", "d"}, {"a", "d"}}).Draw(t, "names")
	w.listed = append(w.listed, w.now)
	w.lists = append(w.lists, Generation{Revision: uint64(len(w.lists) + 1), Names: names})
}

func (w *simulation) doLearn(t *rapid.T) { w.configure(pick(t, w.nodes, isUp)) }

func (w *simulation) doTime(t *rapid.T) {
	until := w.now + rapid.SampledFrom([]time.Duration{time.Second, time.Second, 3 * time.Second, 15 * time.Second, 3 * time.Minute}).Draw(t, "time")
	for _, n := range w.nodes {
		for _, key := range keysIn(n.exec, Running) {
			deadline := n.started + n.exec.runs.records[key].until
			if w.now = min(deadline, until); n.up && w.now == deadline {
				w.end(n, key)
			}
		}
	}
	w.now = until
	for _, n := range w.nodes {
		if late := w.listed[len(w.listed)-1] + w.limits.ConfigLag; n.up && w.now >= late {
			w.configure(n)
		}
	}
}

func keysIn(e *Executor, state RunState) []Key {
	var keys []Key
	for key, r := range e.runs.records {
		if r.state == state {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return int(a[0]) - int(b[0]) })
	return keys
}
