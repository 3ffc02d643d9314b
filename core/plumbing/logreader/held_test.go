package logreader

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endedAt returns the log line of a request that ended at a number of milliseconds after midnight.
func endedAt(at int, instance, id, more string) string {
	t := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(at) * time.Millisecond)
	return fmt.Sprintf(`{"time":%q,"msg":"request","instance":%q,"id":%q,"service":"pool",%s}`, t.Format(time.RFC3339Nano), instance, id, more)
}

// Guards against an urgent request that was refused while others started, without the log telling
// which they were and what was known.
func TestHoldingOfARefusedRequest(t *testing.T) {
	lines := Read(strings.NewReader(strings.Join([]string{
		// It waits from 1000 to 1400.
		endedAt(1400, "g1", "r", `"status":503,"class":1,"held-by":"slots","known-age-ms":180,"ms":400,"queued-ms":400,"reason":"deadline-passed"`),
		endedAt(3000, "g1", "urgent", `"status":200,"class":0,"ms":2500,"queued-ms":600,"target":"t"`),           // starts at 1100
		endedAt(3000, "g1", "urgent2", `"status":200,"class":0,"ms":1700,"queued-ms":0,"target":"t"`),            // 1300
		endedAt(3000, "g1", "same", `"status":200,"class":1,"ms":1800,"queued-ms":0,"target":"t"`),               // 1200
		endedAt(3000, "g1", "behind", `"outcome":"caller-left","class":2,"ms":1650,"queued-ms":40,"target":"t"`), // 1390
		endedAt(3000, "g1", "later", `"status":200,"class":0,"ms":1500,"queued-ms":0,"target":"t"`),
		endedAt(1200, "g1", "refused", `"status":503,"class":0,"ms":0,"queued-ms":0`),
		endedAt(3000, "g2", "elsewhere", `"status":200,"class":0,"ms":1800,"queued-ms":0,"target":"t"`),
		strings.Replace(endedAt(3000, "g1", "other", `"status":200,"class":0,"ms":1800,"queued-ms":0,"target":"t"`), `"pool"`, `"desk"`, 1),
		endedAt(3000, "g1", "plain", `"status":200,"ms":5,"queued-ms":0`),
	}, "\n")))
	is := is.New(t)
	h, ok := HoldingOf("r", lines)
	is.True(ok)
	is.Equal(h, Holding{Class: 1, Cause: "slots", KnownAge: 180 * time.Millisecond, Before: 2, Same: 1, Behind: 1, LastBefore: "urgent2"})
	is.Equal(h.String(), "class 1, held by slots, known from loads 180ms old; started meanwhile: 2 of classes before it, 1 of its own, 1 behind it; the last before it urgent2")
	h, ok = HoldingOf("later", lines)
	is.True(ok)
	is.Equal(h.String(), "class 0, started at once")
	_, ok = HoldingOf("plain", lines)
	is.True(!ok)
	_, ok = HoldingOf("none", lines)
	is.True(!ok)
}

// Guards against a class that pays for a burst of another without the log showing it.
func TestSharesOfClasses(t *testing.T) {
	is := is.New(t)
	lines := Read(strings.NewReader(strings.Join([]string{
		endedAt(0, "g1", "a", `"status":200,"on-time":true,"class":0`),
		endedAt(0, "g1", "b", `"status":503,"class":1`),
		endedAt(0, "g1", "c", `"status":200,"on-time":false,"class":1`),
		endedAt(0, "g1", "d", `"status":200,"on-time":true`),
	}, "\n")))
	is.Equal(Shares(lines, ByClass), []Share{
		{Group: "pool/0", Tries: 1, OnTime: 1},
		{Group: "pool/1", Tries: 2, Late: 1, Refused: 1},
	})
}

// Guards against a group that most slots of were withheld without the summary showing it.
func TestGroupSummariesShowTheUsableSlots(t *testing.T) {
	is := is.New(t)
	got := GroupSummaries(Read(strings.NewReader(strings.Join([]string{
		groupLine(1, "headroom", "g1", "g0", `,"usable":500,"slots":630,"stretch":1.5`),
		groupLine(2, "headroom", "g2", "g0", `,"usable":420,"slots":630,"stretch":1.9`),
		groupLine(3, "headroom", "g1", "g0", `,"usable":630,"slots":630,"stretch":0`),
	}, "\n"))))
	is.Equal(got, []GroupSummary{{Group: "g0", MinUsable: 420, Slots: 630, Stretch: 1.9}})
}
