package main

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/config"
	"verbenashift/core/peer/wire"
	"verbenashift/core/request/quota"
)

// Two regions are partitioned, and each chooses a home for a workspace's limit
// among its own agents. A home that sees half of the fleet must grant half of the
// limit, or both sides together would grant all of it twice.
func TestHalfOfTheFleetGetsHalfOfTheLimit(t *testing.T) {
	is := is.New(t)
	admitted := func(visible float64) int {
		now := time.Now()
		home := newEntries()
		home.update(config.NewIndex(config.Config{Workspaces: []config.Workspace{{Name: "w", TokensPerSecond: 100}}}))
		home.expire(now, visible)
		l := quota.New("e1", rand.New(rand.NewPCG(1, 2)))
		l.SetMembers(1, []string{"a"})
		l.SetLimit("w", quota.Limit{Rate: 100})
		n := 0
		for range 3000 { // 30 s, ten times the limit
			now = now.Add(10 * time.Millisecond)
			if ok, _ := l.Allow("w", 10, now); ok {
				n++
			}
			for _, agent := range l.Due(now) {
				reply, err := home.receive(&wire.ExchangeRequest{Quota: l.AppendReport(nil, agent, now)}, now)
				is.NoErr(err)
				is.NoErr(l.Merge(agent, reply, now))
			}
		}
		return n
	}
	whole, half := admitted(1), admitted(0.5)
	is.True(whole > 250)       // about 30 s of 10 a second
	is.True(half < whole*6/10) // and half of it
}
