package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest is a request from its arrival to its end at an entry with four full groups and
// requests of all classes that wait.
func BenchmarkRequest(b *testing.B) {
	for _, classes := range []int{1, 4, 8} {
		b.Run(fmt.Sprint(classes, " classes"), func(b *testing.B) {
			p := newPool()
			p.SetClasses(classes, start)
			p.SetGroups(map[string]int{"g0": 60, "g1": 60, "g2": 60, "g3": 60}, start)
			now, next := start, 0
			var running []string
			enqueue := func() {
				next++
				_ = p.Enqueue(Request{ID: fmt.Sprint(next), Workspace: fmt.Sprint(next % 24), Cost: cost, Objective: objective, Class: next % classes, Retry: true}, now)
				for _, d := range p.Decisions() {
					if d.Refusal == nil {
						running = append(running, d.ID)
					}
				}
			}
			for range 300 {
				enqueue()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(4 * time.Millisecond)
				enqueue()
				p.Done(running[0], cost, now)
				running = running[1:]
			}
		})
	}
}
