package engine

import (
	"net/http"
	"time"
)

// Load is the load report that GET /v1/load returns.
type Load struct {
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	TokensPerSecond float64 `json:"tokens-per-second"`
	StepMS          float64 `json:"step-ms"`
	// UnixMillis is the time of the measurement.
	UnixMillis int64 `json:"unix-millis"`
}

type sample struct {
	at   time.Time
	load Load
}

// sample records the current load and drops the samples that no report needs:
// of those older than the lag, all but the newest.
func (e *Engine) sample() {
	now := time.Now()
	l := Load{
		Running: len(e.running),
		Waiting: e.waiting.Len(),
		StepMS:  float64(e.step) / float64(time.Millisecond),
	}
	if e.step > 0 {
		l.TokensPerSecond = float64(l.Running) / e.step.Seconds()
	}
	e.samples = append(e.samples, sample{now, l})
	old := 0
	for old+1 < len(e.samples) && now.Sub(e.samples[old+1].at) >= e.cfg.LoadLag {
		old++
	}
	e.samples = e.samples[old:]
}

// delayedLoad returns the load as of Config.LoadLag ago.
func (e *Engine) delayedLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	cut := time.Now().Add(-e.cfg.LoadLag)
	l := Load{StepMS: float64(e.cfg.Step) / float64(time.Millisecond)}
	for _, s := range e.samples {
		if s.at.After(cut) {
			break
		}
		l = s.load
	}
	l.Running = int(float64(l.Running) * e.faults.reportLoad)
	l.Waiting = int(float64(l.Waiting) * e.faults.reportLoad)
	l.UnixMillis = cut.UnixMilli()
	return l
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.delayedLoad())
}
