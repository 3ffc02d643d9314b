package group

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/membership/lease"
)

func num(fence, sequence uint64) lease.Number {
	return lease.Number{Fence: fence, Sequence: sequence}
}

// formedRank returns a rank of epoch 1.4 at step 10 on map 1 with map 2 loaded.
func formedRank() *Rank {
	return &Rank{Fencing: lease.HonoursFencing, State: RankState{
		Incarnation: 1, Epoch: num(1, 4), Since: num(1, 4), Members: []string{"a", "b"},
		Version: 1, Loaded: 2, Next: 10, Last: num(1, 9),
	}}
}

func armOrder(step uint64) Order {
	return Order{Number: num(1, 14), Base: num(1, 12), Kind: ArmMap, Epoch: num(1, 4), Version: 2, Step: step}
}

func resolveOrder(commit bool) Order {
	return Order{Number: num(1, 15), Base: num(1, 12), Kind: ResolveMap, Epoch: num(1, 4), Commit: commit}
}

// runTo begins steps until the rank is held or has begun the given step.
func runTo(r *Rank, step uint64) (last uint64, v Version) {
	for r.State.Next <= step {
		s, used, ok := r.Begin()
		if !ok {
			break
		}
		last, v = s, used
	}
	return last, v
}

func TestRankRefusesToArm(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *Rank, o *Order)
		want   string
	}{
		{"next step", func(*Rank, *Order) {}, ""},
		{"step begun", func(_ *Rank, o *Order) { o.Step = 9 }, "step-begun"},
		{"map not loaded", func(_ *Rank, o *Order) { o.Version = 3 }, "not-loaded"},
		{"map still loading", func(r *Rank, _ *Order) { r.State.Loaded, r.State.Loading = 0, 2 }, "not-loaded"},
		{"other epoch", func(_ *Rank, o *Order) { o.Epoch = num(1, 8) }, "other-epoch"},
		{"load while armed", func(r *Rank, o *Order) { r.State.Armed.Number, o.Kind = num(1, 8), LoadMap }, "armed"},
		{"older order", func(r *Rank, _ *Order) { r.State.Last = num(2, 1) }, "stale-fence"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, o := formedRank(), armOrder(10)
			tt.change(r, &o)
			before := r.State.Armed
			var refused *RefusedError
			if errors.As(r.Apply(o), &refused) {
				is.Equal(refused.Reason, tt.want)
				is.Equal(r.State.Armed, before)
				return
			}
			is.Equal(tt.want, "")
		})
	}
}

// A switch is aborted. Callers must not notice: the rank runs the step it was armed for, and
// all later ones, on the map it had.
func TestAbortLeavesRankAsItWas(t *testing.T) {
	is := is.New(t)
	r := formedRank()
	before := r.State
	is.NoErr(r.Apply(armOrder(12)))
	last, v := runTo(r, 20)
	is.Equal(last, uint64(11)) // held at 12
	is.Equal(v, Version(1))
	is.NoErr(r.Apply(resolveOrder(false)))
	last, v = runTo(r, 20)
	is.Equal(last, uint64(20))
	is.Equal(v, Version(1))
	after := r.State
	after.Next, after.Last, after.Waiting = before.Next, before.Last, before.Waiting
	is.Equal(after, before)
	is.Equal(r.State.Vote(Switch{Number: num(1, 12), Epoch: num(1, 4)}), Refused)
}

func TestCommitTakesEffectAtItsStep(t *testing.T) {
	is := is.New(t)
	r := formedRank()
	is.NoErr(r.Apply(armOrder(12)))
	is.NoErr(r.Apply(resolveOrder(true))) // resolved before the step: no stop
	_, v := runTo(r, 11)
	is.Equal(v, Version(1))
	_, v = runTo(r, 12)
	is.Equal(v, Version(2))
	is.Equal(r.Stops, uint64(0))
	is.NoErr(r.Apply(Order{Number: num(1, 17), Kind: LoadMap, Version: 3}))
	is.True(!r.State.Has(1)) // the old map made room
}

// A rank arms, its agent dies after the vote was sent, and a new one starts empty. If it voted
// differently from its predecessor, one member could count a commit and another an abort.
func TestVoteIsReadBackFromRank(t *testing.T) {
	sw := Switch{Number: num(1, 12), Epoch: num(1, 4), Version: 2, Step: 12}
	tests := []struct {
		name  string
		order Order
		want  Vote
	}{
		{"armed", armOrder(12), Armed},
		{"refused", resolveOrder(false), Refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := formedRank()
			is.NoErr(r.Apply(tt.order))
			m := NewMember(MemberConfig{Name: "a", Fencing: r.Fencing}, 2, time.Second)
			acts := m.Receive(time.Second, "b", Arm{Switch: sw})
			read := acts[0].(Read) // it sends nothing before it has read the rank
			is.Equal(len(acts), 1)
			acts = m.Observed(time.Second, read.ID, r.State, true)
			is.Equal(acts[0], Send{To: "b", Message: VoteResponse{Number: sw.Number, Vote: tt.want}})
		})
	}
}

// A coordinator is paused past its lease while a new one forms the group again. Its delayed
// Form must not bring a rank back, and it must learn that it is superseded.
func TestDelayedFormOfOldCoordinator(t *testing.T) {
	is := is.New(t)
	r := formedRank()
	m := NewMember(MemberConfig{Name: "a", Fencing: r.Fencing}, 1, time.Second)
	read := m.Tick(time.Second)[0].(Read)
	m.Observed(time.Second, read.ID, r.State, true)
	m.Receive(time.Second, "b", Probe{Fence: 3})
	acts := m.Receive(time.Second, "a", Form{Number: num(2, 4), Members: []string{"a"}, Version: 1, Step: 40, Incarnation: 1})
	is.Equal(len(acts), 1)
	report := acts[0].(Send).Message.(Report)

	old := NewCoordinator(CoordinatorConfig{Members: []string{"a", "b"}}, 2, time.Second)
	old.Receive(time.Second, "a", report)
	is.True(old.Superseded())
	is.Equal(len(old.Tick(time.Minute)), 0)
}

// sends returns the messages of one type among actions, by their receivers.
func sends[M Message](acts []Action) map[string]M {
	found := make(map[string]M)
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			if m, ok := s.Message.(M); ok {
				found[s.To] = m
			}
		}
	}
	return found
}

// An instance is replaced by one with another name while its group runs. Without a new epoch
// the group would wait for the old name forever. A coordinator that finds a name in the epoch
// that its settings lack must accept it until enough ranks answer.
func TestReplacedMemberJoins(t *testing.T) {
	is := is.New(t)
	now := time.Second
	s := NewCoordinator(CoordinatorConfig{Members: []string{"a", "c"}}, 5, now)
	s.Tick(now)
	report := Report{Sequence: 1, Health: Stepping, Rank: formedRank().State} // of the epoch of a and b
	s.Receive(now, "a", report)
	now += 4 * time.Second // c is silent
	report.Sequence = 2
	is.Equal(len(sends[Form](s.Receive(now, "a", report))), 0)
	is.Equal(len(sends[Form](s.Tick(now))), 0) // two ranks are needed

	empty := Report{Sequence: 1, Health: Empty, Rank: RankState{Incarnation: 7}}
	forms := sends[Form](s.Receive(now, "c", empty))
	is.Equal(len(forms), 2)
	is.Equal(forms["c"].Members, []string{"a", "c"})
	is.Equal(forms["c"].Incarnation, uint64(7))
	is.Equal(forms["a"].Version, Version(1))
	is.Equal(forms["a"].Step, uint64(11))

	s.SetMembers(now, []string{"a", "d"})
	is.Equal(sends[Probe](s.Tick(now))["d"].Fence, uint64(5))
	empty.Rank.Incarnation = 9
	is.Equal(sends[Form](s.Receive(now, "d", empty))["d"].Members, []string{"a", "d"})
}

// leaseAt is a holder whose lease is valid or not.
type leaseAt struct {
	valid bool
	fence uint64
}

func (l leaseAt) Valid(time.Duration) bool { return l.valid }
func (l leaseAt) Fence() uint64            { return l.fence }

// A renewal is late, so that the lease is invalid for a moment and then valid again. A new
// coordinator under the same fencing token would number its orders from the start, and two
// different epochs would have one number.
func TestOneCoordinatorForEachFence(t *testing.T) {
	is := is.New(t)
	var d Role
	cfg := CoordinatorConfig{Members: []string{"a"}}
	first := d.Coordinator(1, cfg, leaseAt{true, 4})
	is.True(d.Coordinator(2, cfg, leaseAt{false, 4}) == nil)
	is.True(d.Coordinator(3, cfg, leaseAt{true, 4}) == first)
	is.True(d.Coordinator(4, cfg, leaseAt{true, 5}) != first)
}

// One rank is slow, another's engine is lost. Forming the group again costs every request in
// it, so that it must not be done for the slow one; and the ranks that only wait for the slow
// one must not be reported as stalled.
func TestStalledIsNotDead(t *testing.T) {
	cfg := MemberConfig{}.withDefaults()
	at := func(d time.Duration, next uint64, waiting bool) func(p *progress) {
		s := RankState{Epoch: num(1, 4), Next: next, Waiting: waiting}
		return func(p *progress) { p.observe(d, s) }
	}
	refuse := func(p *progress) { p.unreachable = true }
	tests := []struct {
		name string
		do   []func(p *progress)
		want Health
	}{
		{"nothing read", nil, Unknown},
		{"steps", []func(p *progress){at(0, 5, true), at(10*time.Second, 9, false)}, Stepping},
		{"does not finish", []func(p *progress){at(8*time.Second, 5, false), at(10*time.Second, 5, false)}, Stalled},
		{"waits for others", []func(p *progress){at(8*time.Second, 5, true), at(10*time.Second, 5, true)}, Waiting},
		{"refuses connections", []func(p *progress){at(10*time.Second, 5, false), refuse}, Dead},
		{"answers nothing", []func(p *progress){at(time.Second, 5, false)}, Dead},
		{"restarted empty", []func(p *progress){at(8*time.Second, 5, true), func(p *progress) { p.observe(10*time.Second, RankState{}) }}, Empty},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := progress{lastAnswer: 9 * time.Second}
			for _, do := range tt.do {
				do(&p)
			}
			s := RankState{Epoch: p.epoch, Next: p.next, Waiting: tt.want == Waiting}
			is.Equal(p.health(10*time.Second, s, cfg), tt.want)
		})
	}
}
