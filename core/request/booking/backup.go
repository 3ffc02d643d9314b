package booking

import (
	"slices"
	"time"
)

// DefaultMaxHandovers bounds how many registers an agent stores for others.
const DefaultMaxHandovers = 16

// Handover holds the registers that an agent hands over when it shuts down.
type Handover struct {
	Home     HomeExport
	Executor ExecutorExport
}

// Backups stores the registers of other agents while these restart.
type Backups struct {
	Limits Limits
	// Max bounds the number of stored registers; 0 means DefaultMaxHandovers.
	Max int

	backups map[string]*backup
}

type backup struct {
	handover Handover
	until    time.Duration
	// firstNewer is the first newer incarnation of the name that was observed.
	firstNewer uint64
}

// BackupHolderOf returns the agent that stores the register of name: the next one in rendezvous
// order among the others. Skip lists the names that could not be reached or that refused; only
// one agent ever gets a register.
func BackupHolderOf(name string, names, skip []string) string {
	others := make([]string, 0, len(names))
	for _, other := range names {
		if other != name && !slices.Contains(skip, other) {
			others = append(others, other)
		}
	}
	return HomeOf(KeyOf("", name), others)
}

// Put stores a register. It reports false if there is no capacity; the agent then tries the
// next backup holder.
func (c *Backups) Put(h Handover, now time.Duration) bool {
	for name, b := range c.backups {
		if b.until <= now {
			delete(c.backups, name)
		}
	}
	limit := c.Max
	if limit <= 0 {
		limit = DefaultMaxHandovers
	}
	if _, ok := c.backups[h.Home.Name]; !ok && len(c.backups) >= limit {
		return false
	}
	if c.backups == nil {
		c.backups = make(map[string]*backup)
	}
	c.backups[h.Home.Name] = &backup{handover: h, until: now + c.Limits.Window()}
	return true
}

// Observe records from a heartbeat that a process of a name is running.
func (c *Backups) Observe(name string, incarnation uint64) {
	b, ok := c.backups[name]
	if ok && incarnation > b.handover.Home.Incarnation && b.firstNewer == 0 {
		b.firstNewer = incarnation
	}
}

// Take returns a register to the next process of its name, repeatedly if the reply was lost. If
// a process ran without the register, the register is outdated and no later process gets it:
// that process may have run keys that are not in it.
func (c *Backups) Take(name string, incarnation uint64, now time.Duration) (Handover, bool) {
	c.Observe(name, incarnation)
	b, ok := c.backups[name]
	if !ok || b.until <= now || b.firstNewer != incarnation {
		return Handover{}, false
	}
	return b.handover, true
}

// Drain removes all registers and returns them, for the next backup holder when this agent
// shuts down itself.
func (c *Backups) Drain() []Handover {
	var out []Handover
	for _, b := range c.backups {
		if b.firstNewer == 0 {
			out = append(out, b.handover)
		}
	}
	c.backups = nil
	return out
}
