package group

import "time"

// holder is the part of lease.Holder that a Duty needs. Fence is 0 when the
// store's last word was that this process holds nothing.
type holder interface {
	Valid(now time.Duration) bool
	Fence() uint64
}

// Role makes the steward of an agent that may hold the duty of a group, and
// keeps it for as long as the fencing number is the same.
//
// A lease can cease to be valid and be renewed after all, because its deadline
// at the holder comes before that at the store. A second steward under the same
// fence would give out the first one's numbers again, for other orders.
type Role struct {
	steward *Coordinator
	fence   uint64
}

// Coordinator returns the steward to act as, or nil while the lease is not valid.
// It has to be asked right before each use.
func (d *Role) Coordinator(now time.Duration, cfg CoordinatorConfig, h holder) *Coordinator {
	if !h.Valid(now) {
		return nil
	}
	if d.steward == nil || d.fence != h.Fence() {
		d.fence = h.Fence()
		d.steward = NewCoordinator(cfg, d.fence, now)
	}
	return d.steward
}

// Resign gives up the duty, when the agent drains, and tells the agent that
// should take it over. The steward does nothing more; Wanted is false until the
// lease has been released.
func (d *Role) Resign(to string) []Action {
	if d.steward == nil || d.steward.deposed {
		return nil
	}
	d.steward.deposed = true
	return []Action{Send{To: to, Message: Handover{Fence: d.fence}}}
}

// Wanted reports whether the agent should have the duty: it goes on with a lease
// until a member knows of a newer one, and asks for one when due says that
// nobody else seems to hold it.
func (d *Role) Wanted(h holder, due bool) bool {
	if h.Fence() == 0 {
		return due
	}
	return d.steward == nil || d.fence != h.Fence() || !d.steward.Superseded()
}
