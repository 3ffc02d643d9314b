package booking

import "time"

// The defaults of Limits.
const (
	DefaultRetention      = 10 * time.Minute
	DefaultMaxRun         = 10 * time.Minute
	DefaultGrantLife      = 30 * time.Second
	DefaultConfigLag      = time.Minute
	DefaultRebuildTimeout = 2 * time.Second
	DefaultMaxKeys        = 32768
)

// Limits bound what the registers store. Zero fields take the defaults.
type Limits struct {
	// Retention is how long a key is stored after its run ended.
	Retention time.Duration
	// MaxRun is the longest time from acceptance to the end of the run; the
	// agent ends a request that takes longer.
	MaxRun time.Duration
	// GrantLife is how long an entry may act on an answer of a home: submit the grant, resolve
	// the attempt or release it. After that it must claim again.
	GrantLife time.Duration
	// ConfigLag is how long a home may act on a target list that is not the newest. A node
	// that receives no configuration for longer must stop serving claims.
	ConfigLag time.Duration
	// RebuildTimeout is how long a home that started empty waits for the executors before it
	// serves claims with records missing.
	RebuildTimeout time.Duration
	// MaxKeys bounds each register. At the bound new keys are refused and stored keys stay.
	MaxKeys int
}

// Window returns how long after a claim its key may still be needed: the sum of the grant
// lifetime, the longest run and the retention.
func (l Limits) Window() time.Duration {
	l = l.withDefaults()
	return l.GrantLife + l.MaxRun + l.Retention
}

func (l Limits) withDefaults() Limits {
	l.Retention = positive(l.Retention, DefaultRetention)
	l.MaxRun = positive(l.MaxRun, DefaultMaxRun)
	l.GrantLife = positive(l.GrantLife, DefaultGrantLife)
	l.ConfigLag = positive(l.ConfigLag, DefaultConfigLag)
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
