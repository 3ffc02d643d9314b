package booking

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/request/outcome"
)

var (
	three = Generation{Revision: 1, Names: []string{"a", "b", "c"}}
	four  = Generation{Revision: 2, Names: []string{"a", "b", "c", "d"}}
)

// keyOf returns a key whose home is the first name before and the second name after target d
// joins. The search starts at from.
func keyOf(before, after string, from int) Key {
	for i := from; ; i++ {
		key := KeyOf("lakeshore", fmt.Sprint(i))
		if HomeOf(key, three.Names) == before && HomeOf(key, four.Names) == after {
			return key
		}
	}
}

func newHome(incarnation uint64, g Generation) *Home {
	h := &Home{Name: "a", Incarnation: incarnation, First: incarnation == 1}
	h.Configure(g, 0)
	h.Rebuild(0)
	return h
}

func claimFor(key Key, id, executor string) Claim {
	return Claim{Key: key, RequestID: id, Executor: executor, ExecutorIncarnation: 1, Revision: 1}
}

func submission(a Answer, id string) Submission {
	return Submission{Grant: a.Grant, RequestID: id, Incarnation: a.ExecutorIncarnation}
}

// Guards against a second run when the answer to a granted claim is lost: the caller retries at
// another entry while the first submission is still in transit. The second attempt must seal
// the first.
func TestSecondAttemptSealsTheFirst(t *testing.T) {
	is := is.New(t)
	key, home := keyOf("a", "a", 0), newHome(1, three)
	b := &Executor{Name: "b", Incarnation: 1, First: true}
	is.Equal(home.Claim(claimFor(key, "r1", "a"), 0).Kind, BadExecutor) // one crash would lose both records
	is.Equal(home.Claim(claimFor(key, "r1", "d"), 0).Kind, BadExecutor) // a rebuild would not query it
	is.Equal(home.Claim(Claim{Key: key, Executor: "b", Revision: 2}, 0).Reason, ReasonConfigurationBehind)
	first := home.Claim(claimFor(key, "r1", "b"), 0)
	is.Equal(first.Kind, Granted)
	is.Equal(home.Claim(claimFor(key, "r1", "c"), 0), first) // a repeated claim gets the same grant
	second := home.Claim(claimFor(key, "r2", "c"), 0)
	is.Equal(second.Kind, Held)
	other := claimFor(key, "r3", "c")
	other.Body[0] = 1
	is.Equal(home.Claim(other, 0).Kind, Mismatch)

	resolved := b.Resolve(Query{Grant: second.Grant, Incarnation: 1}, 0)
	is.Equal(resolved.Kind, NeverRan)
	is.Equal(b.Accept(submission(first, "r1"), 0).Reason, ReasonSealed)
	is.True(!home.Release(Proof{key, 1, "c", 1}, 0)) // a statement of another executor is no proof
	is.True(home.Release(resolved.Proof, 0))
	is.True(!home.Release(resolved.Proof, 0))
	again := home.Claim(claimFor(key, "r2", "b"), 0)
	is.Equal(again.Grant.Attempt, uint64(2))
	is.Equal(b.Accept(submission(again, "r2"), 0).Kind, Run)
	is.True(b.Start(key, 0))
	is.Equal(b.Accept(submission(again, "r2"), 0).Kind, Attach)
	is.Equal(b.Resolve(Query{Grant: second.Grant, Incarnation: 1, Body: other.Body}, 0).Kind, OtherBody)
	is.Equal(b.Resolve(Query{Grant: second.Grant, Incarnation: 1}, 0).State, Running)
	crashed := &Executor{Name: "b", Incarnation: 2}
	is.Equal(crashed.Accept(submission(again, "r2"), 0).Reason, ReasonIncarnation)
	is.Equal(crashed.Resolve(Query{Grant: again.Grant, Incarnation: 1}, 0).Kind, RecordLost)
}

// Guards against a second run after a home crashed and restarted without records. One of its
// grants runs at b, another is in transit to c, and b answers late: the new home must not grant
// before it knows of the first, and c must refuse the old grant.
func TestHomeRestartsEmpty(t *testing.T) {
	is := is.New(t)
	key := keyOf("a", "a", 0)
	b, c := &Executor{Name: "b", Incarnation: 1, First: true}, &Executor{Name: "c", Incarnation: 1, First: true}
	grant := Grant{key, "a", 1, 1}
	b.Accept(Submission{Grant: grant, RequestID: "r1", Incarnation: 1}, 0)

	home := newHome(2, three)
	is.Equal(home.Claim(claimFor(key, "r2", "c"), 0).Kind, Rebuilding)
	home.SealAnswered("c", c.SealHome(Seal{"a", 2}, 0), 0)
	is.Equal(c.Accept(Submission{Grant: grant, Incarnation: 1}, 0).Reason, ReasonStaleGrant)
	is.Equal(home.Claim(claimFor(key, "r2", "c"), 0).Kind, Rebuilding)
	after := DefaultRebuildTimeout
	lost := home.Claim(claimFor(key, "r2", "c"), after)
	is.Equal(lost.Kind, Unknown) // b may have run it
	is.Equal(lost.Outcome(), outcome.Unknown)
	is.Equal(home.Transfer(Transfer{key, 2}, after).Kind, TransferUnknown)
	home.SealAnswered("b", b.SealHome(Seal{"a", 2}, after), after)
	held := home.Claim(claimFor(key, "r2", "c"), after)
	is.Equal(held.Kind, Held)
	is.Equal(held.RequestID, "r1")
	is.Equal(held.Executor, "b")
	is.Equal(b.SealHome(Seal{"a", 1}, after).HighestHomeIncarnation, uint64(2))
	home.SealAnswered("c", SealAnswer{HighestHomeIncarnation: 3}, after)
	is.Equal(home.Claim(claimFor(key, "r2", "c"), after).Reason, ReasonSuperseded)
}

// Guards against a second run after a home and the executor of its grant crashed together. The
// empty list of the new executor process must not count as "never ran", and an attempt sealed
// at another executor must not count as the last one.
func TestExecutorRestartsWithoutRecords(t *testing.T) {
	is := is.New(t)
	key, home := keyOf("a", "a", 0), newHome(2, three)
	young := &Executor{Name: "b", Incarnation: 2}
	home.SealAnswered("b", young.SealHome(Seal{"a", 2}, 0), 0)
	c := SealAnswer{Age: Forever, Keys: []SealedKey{{Key: key, Attempt: 1, State: Sealed}}}
	home.SealAnswered("c", c, 0)
	end := Limits{}.Window()
	is.Equal(home.Claim(claimFor(key, "r1", "c"), end-1).Kind, Unknown)
	is.Equal(home.Claim(claimFor(key, "r1", "c"), end).Grant.Attempt, uint64(1)) // all earlier attempts have expired
}

// Guards against a second run when seal answers replace the attempt that holds a key: one
// executor lists an old seal with a higher number than the held attempt, as numbering restarts
// when a key was forgotten, and another answers after the home has granted the key.
func TestLateSealAnswer(t *testing.T) {
	is := is.New(t)
	key, home := keyOf("a", "a", 0), newHome(2, three)
	other := keyOf("a", "a", 1000)
	home.SealAnswered("b", SealAnswer{Age: Forever, Keys: []SealedKey{{Key: other, RequestID: "r0", Attempt: 1, State: Running}}}, 0)
	home.SealAnswered("c", SealAnswer{Age: Forever, Keys: []SealedKey{{Key: other, Attempt: 4, State: Sealed}}}, 0)
	held := home.Claim(claimFor(other, "r1", "c"), 0)
	is.Equal(held.Executor, "b")
	is.Equal(held.Grant.Attempt, uint64(4)) // the next one is above every seal
	is.Equal(home.Claim(claimFor(key, "r1", "b"), 0).Kind, Granted)
	home.SealAnswered("c", SealAnswer{Age: Forever, Keys: []SealedKey{{Key: key, Attempt: 4, State: AnswerLost}}}, 0)
	is.Equal(home.Claim(claimFor(key, "r1", "c"), 0).Executor, "b")
}

// Guards against a second run when a target joins and takes over keys: the old home has not
// received the change and the new one has no record, so the new home must get the record before
// it grants a key.
func TestTargetsChange(t *testing.T) {
	is := is.New(t)
	held, free := keyOf("a", "d", 0), keyOf("a", "d", 1000)
	a, d := newHome(1, three), &Home{Name: "d", Incarnation: 1, First: true}
	d.Configure(three, 0)
	d.Configure(four, 0)
	is.Equal(a.Claim(claimFor(held, "r1", "b"), 0).Kind, Granted)
	for _, key := range []Key{held, free} {
		need := d.Claim(claimFor(key, "r2", "c"), 0)
		is.Equal(need.From, []string{"a"})
		d.Transferred(key, "a", TransferAnswer{Kind: TransferUnknown}, 0)
		is.Equal(d.Claim(claimFor(key, "r2", "c"), 0).Kind, NeedTransfer)
		d.Transferred(key, "a", a.Transfer(Transfer{key, 2}, 0), 0)
		is.Equal(a.Claim(claimFor(key, "r3", "c"), 0).Kind, Moved)
	}
	is.Equal(d.Claim(claimFor(held, "r2", "c"), 0).RequestID, "r1")
	is.Equal(d.Claim(claimFor(free, "r2", "c"), 0).Kind, Granted)
	is.Equal(d.Claim(claimFor(held, "r2", "a"), 0).Kind, Held)
	late := a.Transfer(Transfer{free, 2}, 0)
	late.Kind, late.Attempt, late.Executor = TransferRecord, 9, "b"
	d.Transferred(free, "a", late, 0) // a repeated answer changes nothing
	is.Equal(d.Claim(claimFor(free, "r3", "b"), 0).Executor, "c")
	back := claimFor(held, "r4", "c")
	back.Revision = 3
	is.Equal(a.Claim(back, 0).Reason, ReasonConfigurationBehind)
	d.Configure(Generation{Revision: 3, Names: three.Names}, 0)
	a.Configure(four, 0)
	a.Configure(Generation{Revision: 3, Names: three.Names}, 0)
	is.Equal(a.Claim(back, 0).From, []string{"d"})
	a.Transferred(held, "d", d.Transfer(Transfer{held, 3}, 0), 0)
	is.Equal(a.Claim(back, 0).RequestID, "r1")
}

// Guards against losing keys in a planned restart with one key granted, one queued and one
// running: the next process must know all three. A register must not count as complete after a
// process has run without it.
func TestDrainHandsOverRegisters(t *testing.T) {
	is := is.New(t)
	key, home := keyOf("a", "a", 0), newHome(1, three)
	exec := &Executor{Name: "a", Incarnation: 1, First: true}
	queued, running := KeyOf("w", "queued"), KeyOf("w", "running")
	home.Claim(claimFor(key, "r1", "b"), 0)
	for _, k := range []Key{queued, running} {
		is.Equal(exec.Accept(Submission{Grant: Grant{k, "b", 7, 1}, RequestID: "r", Incarnation: 1}, 0).Kind, Run)
	}
	is.True(exec.Start(running, 0))
	exec.Drain()
	is.Equal(exec.Accept(Submission{Grant: Grant{Key{1}, "b", 7, 1}, Incarnation: 1}, 0).Reason, ReasonDraining)
	backups := &Backups{}
	is.True(backups.Put(Handover{home.Export(0), exec.Export(0)}, 0))
	is.Equal(home.Claim(claimFor(key, "r2", "c"), 0).Kind, Rebuilding)
	is.True(!exec.Start(queued, 0))

	h, ok := backups.Take("a", 2, 0)
	is.True(ok)
	_, ok = backups.Take("a", 2, 0)
	is.True(ok) // the answer may have been lost
	_, ok = backups.Take("a", 3, 0)
	is.True(!ok) // process 2 may have run more

	next := &Executor{Name: "a", Incarnation: 2}
	next.Import(h.Executor, 0)
	is.Equal(next.Resolve(Query{Grant: Grant{queued, "b", 7, 1}, Incarnation: 1}, 0).Kind, NeverRan)
	is.Equal(next.Resolve(Query{Grant: Grant{running, "b", 7, 1}, Incarnation: 1}, 0).State, AnswerLost)
	is.Equal(next.Accept(Submission{Grant: Grant{Key{2}, "b", 6, 1}, Incarnation: 2}, 0).Reason, ReasonStaleGrant)
	is.Equal(next.SealHome(Seal{"c", 1}, 0).Age, Forever)

	for highest, kind := range map[uint64]AnswerKind{1: Granted, 2: Unknown} {
		home := &Home{Name: "a", Incarnation: 3}
		home.Configure(three, 0)
		home.Import(h.Home, 0)
		home.Rebuild(0)
		home.SealAnswered("b", SealAnswer{HighestHomeIncarnation: highest, Age: Forever}, 0)
		home.SealAnswered("c", SealAnswer{HighestHomeIncarnation: 1}, 0) // c restarted: records would be missing without the handover
		is.Equal(home.Claim(claimFor(key, "r1", "b"), 0).Executor, "b")
		is.Equal(home.Claim(claimFor(keyOf("a", "a", 1000), "r2", "b"), 0).Kind, kind)
	}
}

// Guards against a full register that drops stored keys, whose next attempt would run again.
// New keys are refused as not run until older ones expire.
func TestFullRegister(t *testing.T) {
	is := is.New(t)
	limits := Limits{MaxKeys: 1}
	home := &Home{Name: "a", Incarnation: 1, First: true, Limits: limits}
	home.Configure(Generation{Revision: 1, Names: []string{"a"}}, 0)
	exec := &Executor{Name: "a", Incarnation: 1, First: true, Limits: limits}
	first := home.Claim(claimFor(Key{1}, "r1", "a"), 0)
	full := home.Claim(claimFor(Key{2}, "r2", "a"), 0)
	is.Equal(full.Kind, Full)
	is.Equal(full.Outcome(), outcome.NotRun)
	is.Equal(home.Claim(claimFor(Key{1}, "r1", "a"), 0), first)
	is.Equal(exec.Accept(submission(first, "r1"), 0).Kind, Run)
	is.Equal(exec.Accept(Submission{Grant: Grant{Key: Key{2}}, Incarnation: 1}, 0).Reason, ReasonFull)
	is.True(!exec.Start(Key{1}, DefaultMaxRun)) // it waited for as long as a run may take
	is.Equal(exec.Resolve(Query{Grant: first.Grant, Incarnation: 1}, DefaultMaxRun).Kind, NeverRan)
	end := limits.Window()
	is.Equal(home.Claim(claimFor(Key{2}, "r2", "a"), end).Kind, Granted)
	is.Equal(exec.Accept(Submission{Grant: Grant{Key: Key{2}}, Incarnation: 1}, end+DefaultMaxRun).Kind, Run)
	is.Equal(home.Len()+exec.Len(), 2)
}

// Checks that 19 agents share the keys evenly, whatever the order of names, and that a name
// that joins only takes keys over itself.
func TestHomeOf(t *testing.T) {
	is := is.New(t)
	count := map[string]int{}
	names := make([]string, 19)
	for i := range names {
		names[i] = fmt.Sprintf("caption-%d", i)
	}
	for i := range 19000 {
		key := KeyOf("w", fmt.Sprint(i))
		before, after := HomeOf(key, names[1:]), HomeOf(key, names)
		is.True(after == before || after == names[0])
		count[after]++
	}
	for _, n := range count {
		is.True(n > 850 && n < 1150)
	}
	is.Equal(testing.AllocsPerRun(100, func() { HomeOf(Key{1}, names) }), 0.0)
	is.Equal(BackupHolderOf("a", []string{"a", "b"}, nil), "b")
	is.Equal(BackupHolderOf("a", []string{"a", "b"}, []string{"b"}), "")
	is.True(KeyOf("ab", "c") != KeyOf("a", "bc"))
}
