package intent_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
	"verbenashift/core/configuration/store"
)

// fake is a store in memory that can inject faults. before, if set, runs before
// each write to the head, like a concurrent operator.
type fake struct {
	version  int64
	keys     map[string]store.KV
	lose     int // number of next writes whose answer is lost after they took effect
	drop     int // number of next writes that are lost before they take effect
	down     bool
	downNext bool // goes down after the next write
	before   func()
	writes   int
}

func (f *fake) Get(_ context.Context, key string) (store.KV, error) {
	if f.down {
		return store.KV{}, &store.UnavailableError{Op: "get"}
	}
	return f.keys[key], nil
}

func (f *fake) List(_ context.Context, prefix string) ([]store.KV, error) {
	var kvs []store.KV
	for k, kv := range f.keys {
		if strings.HasPrefix(k, prefix) {
			kvs = append(kvs, kv)
		}
	}
	return kvs, nil
}

func (f *fake) CompareAndSwap(_ context.Context, key string, version int64, value []byte, _ int64) (int64, error) {
	if f.before != nil && key == intent.HeadKey {
		hook := f.before
		f.before = nil
		hook()
	}
	if f.drop > 0 {
		f.drop--
		return 0, &store.UnknownError{Op: "compare-and-swap"}
	}
	if cur := f.keys[key]; cur.Version != version {
		return 0, &store.ConflictError{Key: key, Current: cur}
	}
	f.version++
	f.writes++
	f.keys[key] = store.KV{Key: key, Value: value, Version: f.version}
	f.down, f.downNext = f.down || f.downNext, false
	if f.lose > 0 {
		f.lose--
		return 0, &store.UnknownError{Op: "compare-and-swap"}
	}
	return f.version, nil
}

func base() config.Config {
	return config.Config{
		Workspaces: []config.Workspace{{Name: "erie", Share: 1}, {Name: "huron", Share: 1}},
		Models:     []config.Model{{Name: "drafts"}},
		Targets:    []config.Target{{Name: "draft-1", Zone: "erie", Agent: "10.0.0.1:9000", Model: "drafts", Drained: true}},
		Groups:     []config.Group{{Name: "drafts", Model: "drafts", Ranks: 4, Layers: 2, Experts: 8, SlotsPerRank: 3}},
	}
}

// start returns a planner on a store whose head is the base configuration.
func start(t *testing.T) (*intent.Planner, *fake, *is.I) {
	is := is.New(t)
	f := &fake{keys: map[string]store.KV{}}
	p := &intent.Planner{Head: intent.Head{Store: f}}
	c := base()
	_, err := p.Head.Edit(t.Context(), []config.Edit{{Replace: &c}}, "first", nil, by("first", "admin"))
	is.NoErr(err)
	return p, f, is
}

func by(id, operator string) intent.Request {
	return intent.Request{ID: id, Operator: operator, Now: time.Unix(1000, 0)}
}

func shares(name, workspace string, share float64) intent.Intent {
	return intent.Intent{Name: name, Workspaces: []config.Share{{Workspace: workspace, Share: share}}}
}

// declare declares an intent that gives a workspace a share.
func declare(is *is.I, p *intent.Planner, name, workspace string, share float64) intent.Plan {
	plan, err := p.Declare(context.Background(), shares(name, workspace, share), by("declare-"+name, "ruth"))
	is.NoErr(err)
	return plan
}

func TestDeclare(t *testing.T) {
	p, _, is := start(t)
	in := intent.Intent{
		Name: "month-end", Preset: intent.PresetLakeshore, Models: []string{"drafts"}, Targets: []string{"draft-1"},
		Workspaces: []config.Share{{Workspace: "erie", Share: 3}, {Workspace: "huron", Share: 1}},
	}
	plan, err := p.Declare(t.Context(), in, by("a", "ruth"))
	is.NoErr(err)
	is.Equal(plan.ID, "month-end.1")
	is.Equal(plan.Diff, []string{
		"~ workspace erie: share 1 -> 3", "~ target draft-1: drained true -> false",
		"~ group drafts: skew-weight 0 -> 1", "~ group drafts: cost-weight 0 -> 4",
	})
	is.Equal(plan.Forecast.Confidence, intent.ConfidenceAssumed)
	is.True(plan.Forecast.SkewAfter < plan.Forecast.SkewBefore)
	again, err := p.Declare(t.Context(), in, by("a", "ruth")) // the first answer was lost
	is.NoErr(err)
	is.Equal(again, plan)
	_, err = p.Declare(t.Context(), in, by("b", "ruth"))
	is.NoErr(err)
	old, err := p.Plan(t.Context(), plan.ID)
	is.NoErr(err)
	is.Equal(old.State, intent.StateSuperseded)
	_, err = p.Confirm(t.Context(), plan.ID, by("c", "ruth"))
	var state *intent.StateError
	is.True(errors.As(err, &state))
	is.Equal(state.State, intent.StateSuperseded)
}

func TestFaultyIntents(t *testing.T) {
	p, _, is := start(t)
	for _, in := range []intent.Intent{
		{},
		{Name: "x"},
		{Name: "x", Models: []string{"drafts"}, Preset: "both"},
		{Name: "x", Models: []string{"drafts"}, Preset: intent.PresetLightbox, SkewWeight: 1},
		{Name: "x", Models: []string{"drafts"}, MaxSkew: -1},
		shares("x", "erie", -1),
	} {
		var invalid *config.InvalidError
		_, err := p.Declare(t.Context(), in, by("a", "ruth"))
		is.True(errors.As(err, &invalid))
	}
	var missing *config.NotFoundError
	_, err := p.Declare(t.Context(), shares("x", "ontario", 1), by("a", "ruth"))
	is.True(errors.As(err, &missing))
	_, err = p.Plan(t.Context(), "x.1")
	is.True(errors.As(err, &missing))
}

// The answer to a confirmation that took effect is lost. The operator gets the
// revision that it made, and a second confirmation changes nothing.
func TestConfirmAfterALostAnswer(t *testing.T) {
	p, f, is := start(t)
	plan := declare(is, p, "month-end", "erie", 3)
	f.lose = 1
	first, err := p.Confirm(t.Context(), plan.ID, by("c1", "ruth"))
	is.NoErr(err)
	is.Equal(first.Revision, uint64(2))
	again, err := p.Confirm(t.Context(), plan.ID, by("c2", "naomi"))
	is.NoErr(err)
	is.Equal([]any{again.Revision, again.ClosedBy}, []any{uint64(2), "ruth"})
	head, _, err := p.Head.Read(t.Context())
	is.NoErr(err)
	is.Equal(head.Revision, uint64(2))
}

// Guards against reporting that nothing was changed when the store goes down
// right after a confirmation took effect and its answer is lost. Once the store
// is back, a second confirmation finds the first, although the plan's own record
// lacks it.
func TestConfirmIsUnknownWhileTheStoreIsDown(t *testing.T) {
	p, f, is := start(t)
	plan := declare(is, p, "month-end", "erie", 3)
	f.lose, f.downNext = 1, true
	_, err := p.Confirm(t.Context(), plan.ID, by("c1", "ruth"))
	var unknown *store.UnknownError
	is.True(errors.As(err, &unknown))
	f.down = false
	shown, err := p.Plan(t.Context(), plan.ID)
	is.NoErr(err)
	is.Equal(shown.State, intent.StateConfirmed)
	again, err := p.Confirm(t.Context(), plan.ID, by("c2", "ruth"))
	is.NoErr(err)
	is.Equal(again.Revision, uint64(2))
}

// A confirmation is lost in transit while another operator's plan for the same
// workspace is confirmed. The lost one can no longer take effect: the operator
// gets the conflict and its winner, not an unknown outcome.
func TestLostConfirmThatLosesTheRace(t *testing.T) {
	p, f, is := start(t)
	mine, other := declare(is, p, "mine", "erie", 3), declare(is, p, "other", "erie", 5)
	f.drop = 1
	f.before = func() {
		drop := f.drop
		f.drop = 0
		_, err := p.Confirm(context.Background(), other.ID, by("c2", "naomi"))
		is.NoErr(err)
		f.drop = drop
	}
	_, err := p.Confirm(t.Context(), mine.ID, by("c1", "ruth"))
	var conflict *intent.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, intent.ConflictError{Winner: other.ID, ChangeID: other.ID + "/confirm/c2", Operator: "naomi", Revision: 2})
}

// Guards against a silently undone change when two operators confirm plans that
// were both made for revision 1. If they change the same field the second gets a
// conflict; otherwise both are applied.
func TestRacingConfirms(t *testing.T) {
	tests := []struct {
		workspace string
		conflict  bool
	}{{"erie", true}, {"huron", false}}
	for _, tt := range tests {
		t.Run(tt.workspace, func(t *testing.T) {
			p, f, is := start(t)
			first, second := declare(is, p, "first", "erie", 3), declare(is, p, "second", tt.workspace, 5)
			f.before = func() {
				_, err := p.Confirm(context.Background(), first.ID, by("c1", "ruth"))
				is.NoErr(err)
			}
			plan, err := p.Confirm(t.Context(), second.ID, by("c2", "naomi"))
			var conflict *intent.ConflictError
			is.Equal(errors.As(err, &conflict), tt.conflict)
			if tt.conflict {
				is.Equal(conflict.Winner, first.ID)
				return
			}
			is.Equal(plan.Revision, uint64(3))
			head, _, err := p.Head.Read(t.Context())
			is.NoErr(err)
			is.Equal([]float64{head.Workspaces[0].Share, head.Workspaces[1].Share}, []float64{3, 5})
		})
	}
}

// Guards against success for both of two operators when one abandons a plan while
// the other confirms it, which would happen if the two wrote different keys; the
// head decides between them.
func TestAbandonRacesWithConfirm(t *testing.T) {
	p, f, is := start(t)
	plan := declare(is, p, "month-end", "erie", 3)
	f.before = func() {
		_, err := p.Abandon(context.Background(), plan.ID, by("a1", "naomi"))
		is.NoErr(err)
	}
	_, err := p.Confirm(t.Context(), plan.ID, by("c1", "ruth"))
	var state *intent.StateError
	is.True(errors.As(err, &state))
	is.Equal(state.State, intent.StateAbandoned)
	head, _, err := p.Head.Read(t.Context())
	is.NoErr(err)
	is.Equal(head.Workspaces[0].Share, 1.0)
}

// Guards against applying a plan twice: it is confirmed, the write to its own
// record fails, and so many changes follow that the head drops the confirmation.
// The share is then set back by hand, and the plan is confirmed again.
func TestForgottenConfirmIsNotRepeated(t *testing.T) {
	p, f, is := start(t)
	plan := declare(is, p, "month-end", "erie", 3)
	f.lose, f.downNext = 1, true
	_, err := p.Confirm(t.Context(), plan.ID, by("c1", "ruth"))
	is.True(err != nil)
	f.down = false
	for i := range config.MaxChanges {
		back := config.Edit{Share: &config.Share{Workspace: "erie", Share: 1}}
		_, err := p.Head.Edit(t.Context(), []config.Edit{back}, "", nil, by(fmt.Sprint("e", i), "naomi"))
		is.NoErr(err)
	}
	_, err = p.Confirm(t.Context(), plan.ID, by("c2", "ruth"))
	var state *intent.StateError
	is.True(errors.As(err, &state))
}

// Guards against a change on top of an older head than the nodes have in force,
// after the store was restored from a backup. It would give a second
// configuration the number of the first, and nodes would ignore it.
func TestNoChangeOnARegressedHead(t *testing.T) {
	p, f, is := start(t)
	p.Head.InForce = func() uint64 { return 7 }
	writes := f.writes
	_, err := p.Declare(t.Context(), shares("x", "erie", 2), by("a", "ruth"))
	var regressed *intent.RegressedError
	is.True(errors.As(err, &regressed))
	is.Equal(f.writes, writes)
}

// updateDuringRead is a store during whose reads the node receives a newer revision.
type updateDuringRead struct {
	intent.Store
	update func()
}

func (s updateDuringRead) Get(ctx context.Context, key string) (store.KV, error) {
	kv, err := s.Store.Get(ctx, key)
	s.update()
	return kv, err
}

// Guards against a wrong "regressed" error in place of the conflict that names the winner: two
// operators confirm conflicting plans, and while the second entry reads the head, it receives
// by heartbeat the revision that the first has made. It was seen as "answer":"regressed" in the
// entry's log, in the same millisecond as "configuration in force" with revision 2.
func TestUpdateDuringAReadIsNotARegression(t *testing.T) {
	p, f, is := start(t)
	inForce := uint64(0)
	p.Head.InForce = func() uint64 { return inForce }
	p.Head.Store = updateDuringRead{Store: f, update: func() { inForce = 7 }}
	_, _, err := p.Head.Read(t.Context())
	is.NoErr(err)
	var regressed *intent.RegressedError
	_, _, err = p.Head.Read(t.Context()) // the newer revision was known before this read
	is.True(errors.As(err, &regressed))
}

// Guards against a new plan that is shown as confirmed: the store is restored
// from a backup in which an intent has one declaration fewer, and the head is
// restored from a node. The next plan must not get the identifier of one that was
// confirmed.
func TestRestoredStoreNumbersPlansAnew(t *testing.T) {
	p, f, is := start(t)
	saved := map[string]store.KV{}
	for k, kv := range f.keys {
		saved[k] = kv
	}
	plan := declare(is, p, "month-end", "erie", 3)
	_, err := p.Confirm(t.Context(), plan.ID, by("c1", "ruth"))
	is.NoErr(err)
	inForce, _, err := p.Head.Read(t.Context())
	is.NoErr(err)

	f.keys = saved
	p.Head.InForce = func() uint64 { return inForce.Revision }
	is.NoErr(p.Head.Restore(t.Context(), inForce))
	var conflict *intent.ConflictError
	is.True(errors.As(p.Head.Restore(t.Context(), inForce), &conflict)) // the store already holds this revision
	plan = declare(is, p, "month-end", "erie", 5)
	is.Equal(plan.ID, "month-end.2")
	is.Equal(plan.State, intent.StatePlanned)
	confirmed, err := p.Confirm(t.Context(), plan.ID, by("c2", "ruth"))
	is.NoErr(err)
	is.Equal(confirmed.Revision, inForce.Revision+1)
}

func TestBounds(t *testing.T) {
	p, _, is := start(t)
	in := intent.Intent{Name: "x", Models: []string{"drafts"}, Preset: intent.PresetLakeshore, MaxSkew: 1.0001}
	plan, err := p.Declare(t.Context(), in, by("a", "ruth"))
	is.NoErr(err)
	is.Equal(len(plan.Breaches), 1)
	_, err = p.Confirm(t.Context(), plan.ID, by("c", "ruth"))
	var bound *intent.BoundError
	is.True(errors.As(err, &bound))
}
