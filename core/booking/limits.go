package booking

import "time"

// The defaults of Limits.
const (
	DefaultRetention      = 10 * time.Minute
	DefaultMaxRun         = 10 * time.Minute
	DefaultGrantLife      = 30 * time.Second
	DefaultRebuildTimeout = 2 * time.Second
	DefaultMaxKeys        = 65536
)

// Limits bound what the registers remember. Zero fields take the defaults.
type Limits struct {
	// Retention is how long a key is remembered after its run ended.
	Retention time.Duration
	// MaxRun is the longest run; the agent ends a request that takes longer.
	MaxRun time.Duration
	// GrantLife is how long after the claim an entry may submit its grant.
	GrantLife time.Duration
	// RebuildTimeout is how long a home that started empty waits for the
	// executors before it serves with a gap.
	RebuildTimeout time.Duration
	// MaxKeys bounds each register. At the bound new keys are refused and
	// live keys stay.
	MaxKeys int
}

// Window returns how long after a claim its key may still matter: the life of
// the grant, the longest run and the retention.
func (l Limits) Window() time.Duration {
	l = l.withDefaults()
	return l.GrantLife + l.MaxRun + l.Retention
}

func (l Limits) withDefaults() Limits {
	l.Retention = positive(l.Retention, DefaultRetention)
	l.MaxRun = positive(l.MaxRun, DefaultMaxRun)
	l.GrantLife = positive(l.GrantLife, DefaultGrantLife)
	l.RebuildTimeout = positive(l.RebuildTimeout, DefaultRebuildTimeout)
	l.MaxKeys = positive(l.MaxKeys, DefaultMaxKeys)
	return l
}

func positive[T time.Duration | int](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}
