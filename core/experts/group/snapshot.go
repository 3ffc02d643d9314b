package group

import (
	"time"

	"verbenashift/core/membership/lease"
)

// MemberSnapshot is the state of one member as shown to operators.
type MemberSnapshot struct {
	Name    string       `json:"name"`
	Health  string       `json:"health"`
	Lost    bool         `json:"lost"`
	Epoch   lease.Number `json:"epoch"`
	Version Version      `json:"version"`
	Next    uint64       `json:"next"`
	// Armed is the base number of a switch under way; zero if there is none.
	Armed lease.Number `json:"armed"`
	// LastReportMillis is how long ago the last report was received.
	LastReportMillis int64 `json:"heard-millis"`
}

// Snapshot is the state of a group as shown to operators.
type Snapshot struct {
	Fence   uint64           `json:"fence"`
	Epoch   lease.Number     `json:"epoch"`
	Desired Version          `json:"want"`
	Settled bool             `json:"settled"`
	Members []MemberSnapshot `json:"members"`
}

// Snapshot returns the state of the group as the coordinator knows it at now.
func (s *Coordinator) Snapshot(now time.Duration) Snapshot {
	v := Snapshot{Fence: s.fence, Desired: s.desired, Settled: s.Settled()}
	if s.form != nil {
		v.Epoch = s.form.Number
	}
	for _, name := range s.cfg.Members {
		st := s.states[name]
		r := st.report.Rank
		v.Members = append(v.Members, MemberSnapshot{
			Name: name, Health: st.report.Health.String(), Lost: s.lost(now, st),
			Epoch: r.Epoch, Version: r.Version, Next: r.Next, Armed: r.Armed.Number,
			LastReportMillis: (now - st.lastReport).Milliseconds(),
		})
	}
	return v
}
