package rank_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
	"verbenashift/core/membership/lease"
	"verbenashift/standin/judge"
	standin "verbenashift/standin/rank"
)

const weightSize = 1024

// readyStore returns all weights without a delay.
type readyStore struct{}

func (readyStore) Size(context.Context, string, int, int32) (int64, error) { return weightSize, nil }

func (readyStore) Read(_ context.Context, _ string, w rank.WeightsRequest) (int64, error) {
	return w.Length, nil
}

// ranks is a group, by name, and a link without delay between its ranks.
type ranks map[string]*standin.Rank

func (r ranks) Send(to string, m standin.StepMessage) { go r[to].Receive(m) }

var (
	names = []string{"a", "b", "c"}
	maps  = []rank.Placement{{{0, 1, 2}}, {{1, 2, 0}}}
)

// newGroup returns ranks that run steps on the first map and have loaded the
// second.
func newGroup(t *testing.T) ranks {
	t.Helper()
	r := make(ranks)
	for i, n := range names {
		r[n] = standin.New(standin.Config{
			Name: n, Group: "caption", Index: i, Order: names, Step: 5 * time.Millisecond, HonourFencing: true,
			Model: "caption", Store: readyStore{}, Slots: 1, Drift: standin.Drift{Experts: 3},
		}, r)
	}
	for _, n := range names {
		go r[n].Run(t.Context())
	}
	r.order(t, rank.Order{Placement: maps[0], Order: group.Order{
		Number: number(2), Base: number(0), Kind: group.FormGroup, Version: maps[0].Version(), Step: 1, Members: names,
	}})
	r.order(t, rank.Order{Placement: maps[1], Order: group.Order{
		Number: number(5), Base: number(4), Kind: group.LoadMap, Version: maps[1].Version(),
	}})
	time.Sleep(time.Second)
	return r
}

func number(sequence uint64) lease.Number { return lease.Number{Fence: 1, Sequence: sequence + 4} }

func (r ranks) order(t *testing.T, o rank.Order) {
	t.Helper()
	data, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		if err := r[n].Apply(data); err != nil {
			t.Fatalf("rank %s: %v", n, err)
		}
	}
}

// arm arms all ranks to switch to the second map 10 steps ahead.
func (r ranks) arm(t *testing.T) (step uint64) {
	t.Helper()
	step = r["a"].State().Next + 10
	r.order(t, rank.Order{Order: group.Order{
		Number: number(10), Base: number(8), Kind: group.ArmMap, Epoch: number(0), Version: maps[1].Version(), Step: step,
	}})
	return step
}

func (r ranks) resolve(t *testing.T, commit bool) {
	t.Helper()
	r.order(t, rank.Order{Order: group.Order{
		Number: number(11), Base: number(8), Kind: group.ResolveMap, Epoch: number(0), Commit: commit,
	}})
}

// mismatchedSteps returns the number of steps in which the ranks used different
// maps.
func (r ranks) mismatchedSteps() int {
	var evidence judge.Evidence
	for _, n := range names {
		evidence.Ranks = append(evidence.Ranks, r[n].Ledger())
	}
	return judge.Judge(evidence).MapMismatchSteps
}

func (r ranks) fault(t *testing.T, name, body string) {
	t.Helper()
	m := mux.NewRouter()
	r[name].Register(m)
	m.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", standin.LedgerPrefix+"/faults", strings.NewReader(body)))
}

func TestRanksSwitchTogether(t *testing.T) {
	for _, commit := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newGroup(t)
			step := r.arm(t)
			time.Sleep(time.Second)
			for _, n := range names {
				is.Equal(r[n].State().Next, step) // waiting for the outcome
				is.Equal(r[n].State().Stalls, uint64(1))
			}
			r.resolve(t, commit)
			time.Sleep(time.Second)
			for _, n := range names {
				is.True(r[n].State().Next > step+100)
				is.Equal(r[n].State().Version == maps[1].Version(), commit)
			}
			is.Equal(r.mismatchedSteps(), 0)
		})
	}
}

// One rank does not wait for the outcome of a switch: it computes with other
// experts than the rest and produces wrong answers. The judge must detect this;
// otherwise a closing without mismatched steps would prove nothing.
func TestJudgeSeesRankThatIgnoresWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newGroup(t)
		r.fault(t, "b", `{"ignore-wait":true}`)
		r.arm(t)
		time.Sleep(time.Second)
		is.Equal(r.mismatchedSteps(), 0)
		r.resolve(t, true)
		time.Sleep(time.Second)
		is.True(r.mismatchedSteps() > 100)
	})
}

// A rank stalls, as on a slow device. The others must not get ahead of it by more
// than the current step.
func TestRanksStayInStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newGroup(t)
		r.fault(t, "c", `{"stall-ms":1000}`)
		time.Sleep(500 * time.Millisecond)
		slow := r["c"].State().Next
		for _, n := range names {
			is.True(r[n].State().Next <= slow+1)
		}
		time.Sleep(time.Second)
		is.True(r["a"].State().Next > slow+50)
	})
}

func TestLoadsAreOfHeldExperts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newGroup(t)
		l := r["b"].Loads(time.Now())
		is.Equal(l.Version, maps[0].Version())
		// Rank b holds expert 1 alone.
		for e, load := range l.Layers[0] {
			is.Equal(load != rank.NotHeld, e == 1)
		}
		is.Equal(r["b"].State().Members, names)
	})
}
