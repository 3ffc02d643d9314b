package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenashift/core/request/precedence"
)

// classModel plays random calls to a Pool with several classes and keeps what it may decide.
type classModel struct {
	t       *rapid.T
	pool    *Pool
	now     time.Time
	next    int
	classes int
	// class holds the requests that wait or run, running those that run.
	class   map[string]int
	running []string
	// starts counts all, contested those of a class while one before it waits.
	starts, contested int
}

func newClassModel(t *rapid.T) *classModel {
	m := &classModel{
		t: t, pool: New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))), now: start,
		classes: rapid.IntRange(2, precedence.MaxClasses).Draw(t, "classes"), class: map[string]int{},
	}
	m.pool.SetClasses(m.classes, m.now)
	m.pool.SetGroups(map[string]int{"g0": 12, "g1": 12}, m.now)
	return m
}

func (m *classModel) enqueue() {
	m.next++
	r := Request{
		ID: fmt.Sprint(m.next), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "workspace"),
		Cost: rapid.Int64Range(1, 2000).Draw(m.t, "cost"), Objective: objective,
		Retry: rapid.IntRange(0, 5).Draw(m.t, "retry") == 0, Class: rapid.IntRange(-1, m.classes+1).Draw(m.t, "class"),
	}
	if m.pool.Enqueue(r, m.now) == nil {
		m.class[r.ID] = m.pool.classOf(r.Class)
	}
}

func (m *classModel) end() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "ends")
	id := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	delete(m.class, id)
	m.pool.Done(id, cost, m.now)
}

func (m *classModel) report() {
	m.pool.ReportLoad(Load{
		Group: rapid.SampledFrom([]string{"g0", "g1"}).Draw(m.t, "group"), Complete: rapid.IntRange(0, 9).Draw(m.t, "complete") > 0,
		Running: rapid.IntRange(0, 14).Draw(m.t, "running"), Entries: rapid.IntRange(0, 3).Draw(m.t, "entries"),
	}, m.now)
}

// collect checks that each decision is the only one for a request that waits.
func (m *classModel) collect() {
	started := make([]int, precedence.MaxClasses)
	for _, d := range m.pool.Decisions() {
		class, known := m.class[d.ID]
		if !known {
			m.t.Fatalf("a decision for %s, which does not wait", d.ID)
		}
		if d.Refusal != nil {
			delete(m.class, d.ID)
			continue
		}
		for _, id := range m.running {
			if id == d.ID {
				m.t.Fatalf("%s starts again", d.ID)
			}
		}
		m.running = append(m.running, d.ID)
		started[class]++
		m.starts++
	}
	waits := false
	for c, n := range m.pool.WaitingByClass() {
		if waits {
			m.contested += started[c]
		}
		waits = waits || n > 0
	}
}

// Guards against a class that waits while those behind it start, but for their floor, and against a
// request with no decision or with two.
func TestClassesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClassModel(t)
		for range rapid.IntRange(20, 300).Draw(t, "calls") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "call") {
			case 0, 1, 2, 3, 4:
				m.enqueue()
			case 5, 6, 7:
				m.end()
			case 8:
				m.report()
			default:
				m.pool.Tick(m.now)
			}
			m.collect()
		}
		if most := 0.1*float64(m.starts) + float64(2*m.classes); float64(m.contested) > most {
			t.Fatalf("%d of %d starts were of classes behind one that waited", m.contested, m.starts)
		}
		m.pool.SetGroups(map[string]int{"g0": 12, "g1": 12}, m.now)
		m.now = m.now.Add(time.Minute)
		m.pool.Tick(m.now)
		m.collect()
		if len(m.class) != len(m.running) {
			t.Fatalf("%d requests without a decision", len(m.class)-len(m.running))
		}
	})
}

// Guards against a workspace that takes the room of the others of its class.
func TestWorkspacesShareTheirClass(t *testing.T) {
	is := is.New(t)
	p := newPool()
	p.SetClasses(3, start)
	p.SetGroups(map[string]int{"": 20}, start)
	started, next := map[string]int{}, 0
	var running []string
	of := map[string]string{}
	for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		// 20 requests a second can run: class 0 asks for 5, "many" of class 1 for 100, "few" for 4.
		for _, a := range []struct {
			workspace string
			class     int
			every     time.Duration
		}{{"first", 0, 200 * time.Millisecond}, {"many", 1, 10 * time.Millisecond}, {"few", 1, 250 * time.Millisecond}} {
			if at%a.every == 0 {
				next++
				id := fmt.Sprint(next)
				of[id] = a.workspace
				_ = p.Enqueue(Request{ID: id, Workspace: a.workspace, Cost: cost, Objective: objective, Class: a.class}, now)
			}
		}
		if at%(50*time.Millisecond) == 0 && len(running) >= 20 {
			p.Done(running[0], cost, now)
			running = running[1:]
		}
		p.Tick(now)
		for _, d := range p.Decisions() {
			if d.Refusal == nil {
				started[of[d.ID]]++
				running = append(running, d.ID)
			}
		}
	}
	t.Log(started)
	is.True(started["first"] >= 95)
	is.True(started["few"] >= 76) // 80 came
	is.True(started["many"] >= 200)
}
