package logreader

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// groupLine returns a log line of a coordinator, at seconds after midnight.
func groupLine(seconds float64, message, instance, group, more string) string {
	t := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(seconds * float64(time.Second)))
	return fmt.Sprintf(`{"time":%q,"msg":%q,"instance":%q,"group":%q%s}`, t.Format(time.RFC3339Nano), message, instance, group, more)
}

// Guards against logs that do not show a gap without a coordinator or two coordinators at
// once: in one group the coordinator is killed and another agent takes over two seconds
// later; in the other group two act at the same time for a moment.
func TestGroupSummariesShowMissingAndConcurrentCoordinators(t *testing.T) {
	is := is.New(t)
	got := GroupSummaries(Read(strings.NewReader(strings.Join([]string{
		groupLine(0, "steward begins", "a", "g0", ""),
		groupLine(1, "group state", "a", "g0", `,"skew":2.5,"pass-ms":80`),
		groupLine(2, "change of map", "a", "g0", ""),
		groupLine(4, "steward begins", "b", "g0", ""),
		groupLine(5, "group state", "b", "g0", `,"skew":1.5,"pass-ms":60`),
		groupLine(6, "group state", "b", "g0", `,"skew":0,"pass-ms":0`),
		groupLine(0, "steward begins", "c", "g1", ""),
		groupLine(3, "steward begins", "d", "g1", ""),
		groupLine(4, "steward ends", "c", "g1", ""),
		groupLine(5, "group state", "d", "g1", ""),
		groupLine(5, "group state", "x", "g1", ""), // it never logged that it is the coordinator
	}, "\n"))))
	is.Equal(got, []GroupSummary{
		{Group: "g0", Coordinators: 2, MaxConcurrent: 1, Uncoordinated: 2 * time.Second, MapChanges: 1, Skew: 2, WorstSkew: 2.5, PassMillis: 70},
		{Group: "g1", Coordinators: 2, MaxConcurrent: 2},
	})
}

// Guards against a table of reasons that does not add up to all tries, and against a pause
// that is attributed to the state of another group than the request's own.
func TestSharesByReason(t *testing.T) {
	is := is.New(t)
	request := func(id, group, end string) string {
		return fmt.Sprintf(`{"time":"2026-01-01T00:00:05Z","msg":"request","instance":"f","id":%q,"group":%q,"ms":2000,%s}`, id, group, end)
	}
	lines := Read(strings.NewReader(strings.Join([]string{
		groupLine(4, "group state", "a", "g0", `,"skew":1.8,"pass-ms":120,"ranks":4,"known":4`),
		groupLine(4, "group state", "b", "g1", `,"skew":1.1,"pass-ms":90,"ranks":4,"known":4`),
		groupLine(4, "group state", "c", "g2", `,"skew":1.1,"pass-ms":50,"ranks":4,"known":3`),
		groupLine(4, "group state", "c", "g3", `,"skew":1.1,"pass-ms":50,"ranks":4,"known":4,"slowest-pace":2.1`),
		request("a", "g0", `"status":200,"on-time":true`),
		request("b", "g0", `"status":200,"on-time":false,"late-by":"pause"`),
		request("c", "g1", `"status":200,"on-time":false,"late-by":"pause"`),
		request("d", "g2", `"status":200,"on-time":false,"late-by":"pause"`),
		request("e", "g3", `"status":200,"on-time":false,"late-by":"pause"`),
		request("f", "g4", `"status":200,"on-time":false,"late-by":"pause"`),
		request("g", "g0", `"status":200,"on-time":false,"ran":2,"late-by":"pause"`),
		request("h", "g0", `"status":200,"on-time":false,"late-by":"first","queued-ms":300,"first-ms":500`),
		request("i", "g0", `"status":200,"on-time":false,"late-by":"first","queued-ms":0,"first-ms":500`),
		request("j", "g0", `"status":200,"on-time":false,"late-by":"return"`),
		request("k", "g0", `"status":200,"on-time":false`),
		request("l", "g0", `"status":503,"reason":"refused by i-1"`),
		request("m", "g0", `"status":502,"reason":"answer broken in head: EOF"`),
		request("n", "g0", `"outcome":"caller-left"`),
	}, "\n")))
	total := 0
	for _, s := range Shares(lines, ByReason(lines)) {
		is.Equal(s.Tries, 1)
		total += s.Tries
	}
	is.Equal(total, 14)
	by := ByReason(lines)
	for id, want := range map[string]string{
		"a": reasonOnTime, "b": reasonImbalanced, "c": reasonLongPasses, "d": reasonMissingRank, "e": reasonSlowRank, "f": reasonUnknownPause, "g": reasonMoved, "h": reasonQueued,
		"i": reasonFirstEvent, "j": reasonReturning, "k": reasonPlain, "l": "refused: refused by", "m": "failed: answer broken", "n": reasonDisconnected,
	} {
		for _, l := range lines {
			if l.ID == id {
				is.Equal(by(l), want)
			}
		}
	}
}
