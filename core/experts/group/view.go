package group

import (
	"time"

	"verbenashift/core/membership/lease"
)

// MemberView is what operators see of one member.
type MemberView struct {
	Name    string       `json:"name"`
	Health  string       `json:"health"`
	Lost    bool         `json:"lost"`
	Epoch   lease.Number `json:"epoch"`
	Version Version      `json:"version"`
	Next    uint64       `json:"next"`
	// Armed is the base number of a switch under way; zero if there is none.
	Armed lease.Number `json:"armed"`
	// HeardMillis is how long ago the last report came.
	HeardMillis int64 `json:"heard-millis"`
}

// View is what operators see of a group.
type View struct {
	Fence   uint64       `json:"fence"`
	Epoch   lease.Number `json:"epoch"`
	Want    Version      `json:"want"`
	Settled bool         `json:"settled"`
	Members []MemberView `json:"members"`
}

// View returns the group as the steward knows it at now.
func (s *Steward) View(now time.Duration) View {
	v := View{Fence: s.fence, Want: s.want, Settled: s.Settled()}
	if s.form != nil {
		v.Epoch = s.form.Number
	}
	for _, name := range s.cfg.Members {
		st := s.seats[name]
		r := st.report.Rank
		v.Members = append(v.Members, MemberView{
			Name: name, Health: st.report.Health.String(), Lost: s.lost(now, st),
			Epoch: r.Epoch, Version: r.Version, Next: r.Next, Armed: r.Armed.Number,
			HeardMillis: (now - st.heard).Milliseconds(),
		})
	}
	return v
}
