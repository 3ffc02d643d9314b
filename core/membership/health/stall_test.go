package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against answers that stop midway at a stalled instance, and against moving those that
// legitimately wait.
func TestSilence(t *testing.T) {
	now := start.Add(time.Minute)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		p    Progress
		want Silence
	}{
		"runs":                      {Progress{true, true, ago(80), ago(40), ago(5)}, Silence{}},
		"connection silent":         {Progress{true, true, ago(1000), ago(40), ago(5)}, Silence{Move: true}},
		"target silent for 0.3 s":   {Progress{true, true, ago(300), ago(300), ago(5)}, Silence{Avoid: true}},
		"target silent for 0.5 s":   {Progress{true, true, ago(500), ago(500), ago(5)}, Silence{true, true, true}},
		"sent to a silent target":   {Progress{false, true, ago(200), ago(600), ago(5)}, Silence{Avoid: true}},
		"not begun, target silent":  {Progress{false, false, ago(700), ago(900), ago(5)}, Silence{Move: true, TargetStalled: true}},
		"not begun, perhaps queued": {Progress{false, false, ago(600), ago(900), ago(5)}, Silence{}},
		"not begun, in a queue":     {Progress{false, true, ago(1500), ago(40), ago(5)}, Silence{}},
		"just sent":                 {Progress{false, false, ago(100), ago(3000), ago(5)}, Silence{}},
		"all stalled":               {Progress{true, true, ago(1500), ago(1500), ago(400)}, Silence{}},
		"no data at all":            {Progress{Answer: ago(1500)}, Silence{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tt.p.Evaluate(now), tt.want) })
	}
}
