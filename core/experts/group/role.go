package group

import "time"

// holder is the part of lease.Holder that a Role needs. Fence is 0 when the store's last
// answer was that this process holds nothing.
type holder interface {
	Valid(now time.Duration) bool
	Fence() uint64
}

// Role makes the coordinator of an agent that may hold the lease of a group, and retains it
// for as long as the fencing token is the same.
//
// A lease can cease to be valid and be renewed after all, because its deadline at the holder
// comes before that at the store. A second coordinator under the same fencing token would
// issue the first one's numbers again, for other orders.
type Role struct {
	coordinator *Coordinator
	fence       uint64
}

// Coordinator returns the coordinator to act as, or nil while the lease is not valid. Call it
// right before each use.
func (r *Role) Coordinator(now time.Duration, cfg CoordinatorConfig, h holder) *Coordinator {
	if !h.Valid(now) {
		return nil
	}
	if r.coordinator == nil || r.fence != h.Fence() {
		r.fence = h.Fence()
		r.coordinator = NewCoordinator(cfg, r.fence, now)
	}
	return r.coordinator
}

// Resign gives up the role when the agent drains, and notifies the agent that should take it
// over. The coordinator does nothing more; Wanted is false until the lease has been released.
func (r *Role) Resign(to string) []Action {
	if r.coordinator == nil || r.coordinator.superseded {
		return nil
	}
	r.coordinator.superseded = true
	return []Action{Send{To: to, Message: Handover{Fence: r.fence}}}
}

// Wanted reports whether the agent should hold the lease: it keeps the lease until a member
// knows of a newer one, and requests it when due says that nobody else seems to hold it.
func (r *Role) Wanted(h holder, due bool) bool {
	if h.Fence() == 0 {
		return due
	}
	return r.coordinator == nil || r.fence != h.Fence() || !r.coordinator.Superseded()
}
