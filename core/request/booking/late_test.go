package booking

import (
	"testing"

	"github.com/matryer/is"
)

// A request waits in the queue for as long as a run may take, and is given up;
// another is shed only after its start. A late copy of the first must not run
// beside the second try, and nobody may say that the other never ran.
func TestQueueOutlastsTheKey(t *testing.T) {
	is := is.New(t)
	home := newHome(1, three)
	b := &Executor{Name: "b", Incarnation: 1, First: true}
	waits, runs := keyOf("a", "a", 0), keyOf("a", "a", 1000)
	first := home.Claim(claimFor(waits, "r1", "b"), 0)
	is.Equal(b.Accept(submission(first, "r1"), 0).Kind, Run)
	is.Equal(b.Accept(submission(home.Claim(claimFor(runs, "r2", "b"), 0), "r2"), 0).Kind, Run)
	is.True(b.Start(runs, 0))
	_, ok := b.Withdraw(runs, 0)
	is.True(!ok)
	is.True(!b.Start(waits, DefaultMaxRun))
	is.Equal(b.Accept(submission(first, "r1"), DefaultMaxRun).Reason, ReasonSealed)
	is.Equal(b.Accept(submission(Answer{Grant: Grant{Key: runs, Home: "a", HomeIncarnation: 1, Attempt: 2}, ExecutorIncarnation: 1}, "r3"), DefaultMaxRun).Kind, Attach) // it runs still
}

// A key is used again with another body, or a copy of an earlier attempt comes
// late. Neither may be given the answer of the attempt that runs.
func TestOtherRequestDoesNotAttach(t *testing.T) {
	is := is.New(t)
	b := &Executor{Name: "b", Incarnation: 1, First: true}
	s := Submission{Grant: Grant{Key: Key{1}, Home: "a", HomeIncarnation: 1, Attempt: 2}, RequestID: "r1", Incarnation: 1}
	is.Equal(b.Accept(s, 0).Kind, Run)
	other, late := s, s
	other.Body[0], late.Grant.Attempt = 1, 1
	is.Equal(b.Accept(other, 0).Reason, ReasonBodyMismatch)
	is.Equal(b.Accept(late, 0).Reason, ReasonOtherAttempt)
}

// A paused home wakes after it was replaced and seals again. Executors tell it
// nothing, or it would take itself for the home and grant beside its successor.
func TestOldHomeSealsNothing(t *testing.T) {
	is := is.New(t)
	b := &Executor{Name: "b", Incarnation: 1, First: true}
	is.Equal(b.Accept(Submission{Grant: Grant{Key: Key{1}, Home: "a", HomeIncarnation: 2, Attempt: 1}, Incarnation: 1}, 0).Kind, Run)
	is.Equal(len(b.SealHome(Seal{"a", 1}, 0).Keys), 0)
	is.Equal(len(b.SealHome(Seal{"a", 2}, 0).Keys), 1)
}

// A home that rebuilds is asked for a key's record by the home of a newer list,
// and so is one that was paused and replaced. "None" would let the key run again.
func TestRebuildingHomeTransfersNothing(t *testing.T) {
	is := is.New(t)
	home := newHome(2, three)
	is.Equal(home.Transfer(Transfer{keyOf("a", "d", 0), 2}, 0).Kind, TransferWait)
}

// Seals are kept in a full register too, up to its reserve; beyond it the
// answer is that nothing is decided, since memory has an end.
func TestSealsAreBounded(t *testing.T) {
	is := is.New(t)
	b := &Executor{Name: "b", Incarnation: 1, First: true, Limits: Limits{MaxKeys: 8}}
	last := NeverRan
	for i := range 10 {
		last = b.Resolve(Query{Grant: Grant{Key: Key{byte(i)}, Home: "a", Attempt: 1}, Incarnation: 1}, 0).Kind
	}
	is.Equal(last, Undecided)
	is.Equal(b.Len(), 9)
}

// A register comes back from a peer after a later process has used the name. It
// lacks that one's keys and must not count as whole; and a running key's answer
// is gone with the process that had it.
func TestOldRegisterIsNotTaken(t *testing.T) {
	is := is.New(t)
	home := newHome(2, three)
	home.Import(HomeExport{Name: "a", Incarnation: 2, Keys: []BookedKey{{Key: Key{1}, Left: 1}}}, 0)
	is.Equal(home.Len(), 0)
	exec := &Executor{Name: "a", Incarnation: 2}
	exec.Import(ExecutorExport{Name: "a", Incarnation: 1, Keys: []ExecutedKey{{SealedKey{Key: Key{1}, State: Ended}, "b", 9}}}, 0)
	is.Equal(exec.Resolve(Query{Grant: Grant{Key: Key{1}}, Incarnation: 1}, 0).State, AnswerLost)
}
