package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"verbenashift/core/configuration/config"
	"verbenashift/core/request/quota"
)

// reportPeriod is the interval at which the limiter checks for reports that are
// due.
const reportPeriod = 100 * time.Millisecond

// limiter enforces the rate limits of the workspaces across all entries. Its
// decisions need no call; the usage that it admitted is reported to the
// workspace's home.
type limiter struct {
	mu     sync.Mutex
	quota  *quota.Limiter
	limits map[string]bool
}

func newLimiter(entry string) *limiter {
	return &limiter{quota: quota.New(entry, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), limits: make(map[string]bool)}
}

// update applies the limits of a new configuration.
func (l *limiter) update(x *config.Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cfg := x.Config()
	removed := l.limits
	l.limits = make(map[string]bool, 2*len(cfg.Workspaces))
	for _, limit := range quotaLimits(cfg) {
		l.quota.SetLimit(limit.name, limit.Limit)
		l.limits[limit.name] = true
		delete(removed, limit.name)
	}
	for name := range removed {
		l.quota.Forget(name)
	}
}

// namedLimit is one limit with its name.
type namedLimit struct {
	quota.Limit
	name string
}

// quotaLimits returns the limits of a configuration.
func quotaLimits(cfg config.Config) []namedLimit {
	var limits []namedLimit
	for _, ws := range cfg.Workspaces {
		if ws.TokensPerSecond > 0 {
			limits = append(limits, namedLimit{quota.Limit{Rate: ws.TokensPerSecond}, ws.Name})
		}
		if ws.RequestsPerSecond > 0 {
			limits = append(limits, namedLimit{quota.Limit{Rate: ws.RequestsPerSecond}, quota.RequestLimitKey(ws.Name)})
		}
	}
	return limits
}

// setFleet sets the number of entries that share the limits, and the agents.
func (l *limiter) setFleet(entries int, agents []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.SetMembers(entries, agents)
}

// allow charges one request of cost tokens. If a limit is reached, it returns
// false and the delay after which to retry.
func (l *limiter) allow(workspace string, cost uint64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if ok, wait := l.quota.Allow(quota.RequestLimitKey(workspace), 1, now); !ok {
		return wait, false
	}
	ok, wait := l.quota.Allow(workspace, int64(cost), now)
	return wait, ok
}

// reconcile corrects the charge of an admitted request to its actual cost.
func (l *limiter) reconcile(workspace string, cost, actual uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.Reconcile(workspace, int64(cost), int64(actual), time.Now())
}

// report sends reports that are due to the homes until ctx is done.
func (l *limiter) report(ctx context.Context, exchange func(context.Context, string, []byte) ([]byte, error)) {
	tick := time.NewTicker(reportPeriod)
	defer tick.Stop()
	for {
		for _, home := range l.due() {
			go l.reportTo(ctx, home, exchange)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *limiter) due() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.quota.Due(time.Now())...)
}

func (l *limiter) reportTo(ctx context.Context, home string, exchange func(context.Context, string, []byte) ([]byte, error)) {
	l.mu.Lock()
	digest := l.quota.AppendReport(nil, home, time.Now())
	l.mu.Unlock()
	if len(digest) == 0 {
		return
	}
	reply, err := exchange(ctx, home, digest)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || l.quota.Merge(home, reply, time.Now()) != nil {
		l.quota.ReportFailed(home)
	}
}
