package group

import (
	"time"

	"verbenashift/core/membership/lease"
)

// MemberSnapshot is what operators see of one member.
type MemberSnapshot struct {
	Name    string       `json:"name"`
	Health  string       `json:"health"`
	Lost    bool         `json:"lost"`
	Epoch   lease.Number `json:"epoch"`
	Version Version      `json:"version"`
	Next    uint64       `json:"next"`
	// Armed is the base number of a switch under way; zero if there is none.
	Armed lease.Number `json:"armed"`
	// LastReportMillis is how long ago the last report came.
	LastReportMillis int64 `json:"heard-millis"`
}

// Snapshot is what operators see of a group.
type Snapshot struct {
	Fence   uint64           `json:"fence"`
	Epoch   lease.Number     `json:"epoch"`
	Want    Version          `json:"want"`
	Settled bool             `json:"settled"`
	Members []MemberSnapshot `json:"members"`
}

// Snapshot returns the group as the steward knows it at now.
func (s *Coordinator) Snapshot(now time.Duration) Snapshot {
	v := Snapshot{Fence: s.fence, Want: s.want, Settled: s.Settled()}
	if s.form != nil {
		v.Epoch = s.form.Number
	}
	for _, name := range s.cfg.Members {
		st := s.seats[name]
		r := st.report.Rank
		v.Members = append(v.Members, MemberSnapshot{
			Name: name, Health: st.report.Health.String(), Lost: s.lost(now, st),
			Epoch: r.Epoch, Version: r.Version, Next: r.Next, Armed: r.Armed.Number,
			LastReportMillis: (now - st.heard).Milliseconds(),
		})
	}
	return v
}
