package coldstart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1000, 0)
	// limit tolerates 47 requests in a second.
	limit = Limit{PerSecond: 28, Factor: 1.5, Slack: 5}
)

const tolerated = 47

// mostPerSecond returns the highest number of times within one second.
func mostPerSecond(at []time.Duration) int {
	slices.Sort(at)
	most := 0
	for i := range at {
		j, _ := slices.BinarySearch(at, at[i]+time.Second)
		most = max(most, j-i)
	}
	return most
}

// Guards against crashes of cold targets: all senders want to send to all of them all the time.
// No second may bring a target more than it tolerates, and each must get something as long as the
// limit is worth a request a second for a few senders.
func TestReplayZoneThatComesBackCold(t *testing.T) {
	for _, n := range []int{1, 6, 16, 37, 212, 390} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			const targets, cold = 21, 3 * time.Second
			sent := map[string][]time.Duration{}
			for sender := range n {
				tr := NewTracker(fmt.Sprintf("gateway-%d", sender))
				tr.SetSenders(n)
				for i := range targets {
					tr.Mark(fmt.Sprintf("t%d", i), limit, start.Add(cold), start)
				}
				for at := time.Duration(0); at < cold; at += 10 * time.Millisecond {
					now := start.Add(at)
					unready := tr.Unready(now)
					for i := range targets {
						if id := fmt.Sprintf("t%d", i); !slices.Contains(unready, id) {
							tr.RecordSent(id, now)
							sent[id] = append(sent[id], at)
						}
					}
				}
			}
			least, most := tolerated, 0
			for _, at := range sent {
				n := mostPerSecond(at)
				least, most = min(least, n), max(most, n)
			}
			t.Logf("%d senders: %d to %d in the fullest second of a target", n, least, most)
			is.True(most <= tolerated)
			is.Equal(len(sent), targets)
			is.True(least >= 1)
		})
	}
}

// Guards against a target that stays limited after it is warm, or is forgotten while it is cold.
func TestLimitEndsWithTheColdStart(t *testing.T) {
	is := is.New(t)
	tr := NewTracker("gateway-1")
	tr.SetSenders(1)
	tr.Mark("t", limit, start.Add(2*time.Second), start)
	tr.Mark("t", limit, start.Add(time.Second), start)
	tr.RecordSent("t", start.Add(1500*time.Millisecond))
	is.Equal(tr.Unready(start.Add(1501*time.Millisecond)), []string{"t"})
	is.Equal(len(tr.Unready(start.Add(2*time.Second))), 0)
	_, _, cold := tr.ReadyAt("t", start.Add(2*time.Second))
	is.True(!cold)
	tr.Mark("u", Limit{}, start.Add(time.Hour), start)
	_, _, cold = tr.ReadyAt("u", start)
	is.True(!cold)
}

// Guards against a request that is told to wait longer than the target stays cold.
func TestSendersThatMaySendNothingWaitForTheEnd(t *testing.T) {
	is := is.New(t)
	none := 0
	for i := range 390 {
		tr := NewTracker(fmt.Sprintf("gateway-%d", i))
		tr.SetSenders(390)
		tr.Mark("t", limit, start.Add(time.Second), start)
		at, rate, cold := tr.ReadyAt("t", start)
		is.True(cold)
		if rate == 0 {
			none++
			is.Equal(at, start.Add(time.Second))
		}
	}
	is.True(none > 300 && none < 390)
}
