package booking

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a second run when a request waits in the queue for as long as a run may take,
// and against a false "never ran" when a request is shed after its start. A late copy of the
// expired request must be refused.
func TestKeyExpiresWhileQueued(t *testing.T) {
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
	is.Equal(b.Accept(submission(Answer{Grant: Grant{Key: runs, Home: "a", HomeIncarnation: 1, Attempt: 2}, ExecutorIncarnation: 1}, "r3"), DefaultMaxRun).Kind, Attach) // it is still running
}

// Guards against returning the answer of a running attempt to a request with another body under
// the same key, or to a late copy of an earlier attempt.
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

// Guards against a replaced home that was paused, resumes and seals again. If executors listed
// keys to it, it would act as the home and grant beside its successor.
func TestSupersededHomeSealsNothing(t *testing.T) {
	is := is.New(t)
	b := &Executor{Name: "b", Incarnation: 1, First: true}
	is.Equal(b.Accept(Submission{Grant: Grant{Key: Key{1}, Home: "a", HomeIncarnation: 2, Attempt: 1}, Incarnation: 1}, 0).Kind, Run)
	is.Equal(len(b.SealHome(Seal{"a", 1}, 0).Keys), 0)
	is.Equal(len(b.SealHome(Seal{"a", 2}, 0).Keys), 1)
}

// Guards against a rebuilding or replaced home that answers a transfer with "none", which would
// let the key run again.
func TestRebuildingHomeTransfersNothing(t *testing.T) {
	is := is.New(t)
	home := newHome(2, three)
	is.Equal(home.Transfer(Transfer{keyOf("a", "d", 0), 2}, 0).Kind, TransferWait)
}

// Guards against unbounded memory for seals: a full register stores seals up to its reserve and
// then answers that nothing is decided.
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

// Guards against importing a register after a later process has used the name, whose keys it
// lacks, and against reporting an answer as available that ended with its process.
func TestOutdatedRegisterIsNotImported(t *testing.T) {
	is := is.New(t)
	home := newHome(2, three)
	home.Import(HomeExport{Name: "a", Incarnation: 2, Keys: []BookedKey{{Key: Key{1}, Left: 1}}}, 0)
	is.Equal(home.Len(), 0)
	exec := &Executor{Name: "a", Incarnation: 2}
	exec.Import(ExecutorExport{Name: "a", Incarnation: 1, Keys: []ExecutedKey{{SealedKey{Key: Key{1}, State: Ended}, "b", 9}}}, 0)
	is.Equal(exec.Resolve(Query{Grant: Grant{Key: Key{1}}, Incarnation: 1}, 0).State, AnswerLost)
}
