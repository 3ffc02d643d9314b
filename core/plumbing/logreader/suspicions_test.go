package logreader

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against logs that do not show why a target is avoided, which gateways observed it
// failing, and since when.
func TestSuspicionsCountWhoObservedATarget(t *testing.T) {
	is := is.New(t)
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	line := func(ms int, instance, message, more string) string {
		at := begin.Add(time.Duration(ms) * time.Millisecond)
		return fmt.Sprintf(`{"time":%q,"msg":%q,"instance":%q,%s}`, at.Format(time.RFC3339Nano), message, instance, more)
	}
	suspected := func(ms int, instance, cause, by string) string {
		return line(ms, instance, "target doubted", fmt.Sprintf(`"target":"t0","service":"desk","cause":%q,"by":%q,"reports":2`, cause, by))
	}
	got := Suspicions(Read(strings.NewReader(strings.Join([]string{
		suspected(300, "f1", "unanswered", "own requests"),
		suspected(310, "f2", "unanswered", "key-of-f1"),
		suspected(350, "f2", "broken", "own requests"),
		suspected(700, "f3", "unanswered", "key-of-f1"),
		line(5000, "f1", "target health", `"target":"t0","state":"ejected"`),
		line(5000, "f1", "target health", `"target":"t1","state":"ejected"`), // was never suspected
	}, "\n"))))
	is.Equal(got, []Suspicion{{
		Target: "t0", Service: "desk", Causes: []string{"broken", "unanswered"}, Observations: 2, Observers: 2, Informed: 2,
		First: begin.Add(300 * time.Millisecond), Last: begin.Add(700 * time.Millisecond), Propagation: 400 * time.Millisecond, Ejected: 1,
	}})
}
