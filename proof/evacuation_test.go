package proof

import (
	"strings"
	"testing"
	"time"

	"verbenashift/standin/fleet"
)

// zoneBound is the time within which an evacuation has to be in force everywhere.
const zoneBound = 5 * time.Second

// Guards against requests to the servers of an evacuated zone: while the store is away, by a gateway
// that starts in the middle of the evacuation, after the history of the store is gone, and with an
// expert group that spans the zone. The group must not stop, and callers must see no error.
func TestFleetZoneIsEvacuated(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.92", Ranks: 6, Zones: 3})
	v := s.playDuring(1200, func() {
		s.awaitMapChanges()
		s.Evacuate("z2", true)
		time.Sleep(zoneBound)
		before := s.Ledger.RunsIn("z2")
		s.Store.Compact()
		s.kill("front-0")
		s.startProcess(s.boot("front-0"))
		s.awaitMapChanges()
		s.Store.SetDown(true)
		time.Sleep(2 * time.Second)
		s.Store.SetDown(false)
		s.awaitMapChanges()
		s.Equal(s.Ledger.RunsIn("z2"), before)
		s.True(s.Ledger.RunsIn("z1") > 0)
		s.Evacuate("z2", false)
		s.until("requests in the zone that was taken back", func() bool { return s.Ledger.RunsIn("z2") > before })
	})
	s.True(v.MapMismatchSteps == 0)
	s.Equal(v.Doubled, 0)
	for _, name := range []string{"front-0", "front-1"} {
		s.True(strings.Contains(s.log(name), `"msg":"zone evacuated"`))
	}
}

// Guards against callers that wait although the zones of all servers are evacuated.
func TestFleetAllZonesAreEvacuated(t *testing.T) {
	s := startFleet(t, fleet.Shape{Block: "127.0.93", Zones: 2})
	s.Evacuate("z1", true)
	s.Evacuate("z2", true)
	s.until("evacuation in force", func() bool {
		return strings.Count(s.log("front-0")+s.log("front-1"), `"msg":"evacuation of a zone that holds no target, or all"`) >= 2
	})
	before := s.Ledger.RunsIn("z1") + s.Ledger.RunsIn("z2")
	calls := fleet.Play(s.ctx, s.Fleet, 100)
	for _, c := range calls {
		s.Equal(c.Status, 503)
		s.True(c.RetryAfter > 0)
	}
	s.Equal(s.Ledger.RunsIn("z1")+s.Ledger.RunsIn("z2"), before)
}
