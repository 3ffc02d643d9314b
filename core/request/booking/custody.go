package booking

import (
	"slices"
	"time"
)

// DefaultMaxHandovers bounds how many registers an agent keeps for others.
const DefaultMaxHandovers = 16

// Handover is all that an agent hands over when it is shut down.
type Handover struct {
	Home     HomeExport
	Executor ExecutorExport
}

// Backups keeps the registers of other agents between their processes.
type Backups struct {
	Limits Limits
	// Max bounds the registers kept; 0 means DefaultMaxHandovers.
	Max int

	items map[string]*deposit
}

type deposit struct {
	handover Handover
	until    time.Duration
	// after is the first newer incarnation of the name that was heard of.
	after uint64
}

// BackupHolderOf returns the agent that keeps the register of name: the next one
// in rendezvous order among the others. Skip holds names that could not be
// reached or refused; one agent only ever gets a register.
func BackupHolderOf(name string, names, skip []string) string {
	others := make([]string, 0, len(names))
	for _, other := range names {
		if other != name && !slices.Contains(skip, other) {
			others = append(others, other)
		}
	}
	return HomeOf(KeyOf("", name), others)
}

// Put takes a register. It reports false if there is no place; the agent then
// tries the next custodian.
func (c *Backups) Put(h Handover, now time.Duration) bool {
	for name, d := range c.items {
		if d.until <= now {
			delete(c.items, name)
		}
	}
	limit := c.Max
	if limit <= 0 {
		limit = DefaultMaxHandovers
	}
	if _, ok := c.items[h.Home.Name]; !ok && len(c.items) >= limit {
		return false
	}
	if c.items == nil {
		c.items = make(map[string]*deposit)
	}
	c.items[h.Home.Name] = &deposit{handover: h, until: now + c.Limits.Window()}
	return true
}

// Observe notes that a process of a name is at work, from its heartbeat.
func (c *Backups) Observe(name string, incarnation uint64) {
	d, ok := c.items[name]
	if ok && incarnation > d.handover.Home.Incarnation && d.after == 0 {
		d.after = incarnation
	}
}

// Take gives a register to the next process of its name, again if the answer
// was lost. A process that worked without the register has made it old: it may
// have run keys that the register lacks, so that no later one gets it.
func (c *Backups) Take(name string, incarnation uint64, now time.Duration) (Handover, bool) {
	c.Observe(name, incarnation)
	d, ok := c.items[name]
	if !ok || d.until <= now || d.after != incarnation {
		return Handover{}, false
	}
	return d.handover, true
}

// Drain empties the custody and returns what it held, for the next custodian
// when this agent is shut down itself.
func (c *Backups) Drain() []Handover {
	var out []Handover
	for _, d := range c.items {
		if d.after == 0 {
			out = append(out, d.handover)
		}
	}
	c.items = nil
	return out
}
