package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// faults are the injected faults of the engine, guarded by Engine.mu.
type faults struct {
	stall            time.Duration
	slowFactor       float64
	refuse           bool
	breakAfter       int
	breakCount       int
	reportLoad       float64
	lostOrderAnswers int
}

// faultRequest is the body of POST /faults. Omitted fields stay unchanged.
type faultRequest struct {
	StallMS          *int     `json:"stall-ms"`
	SlowFactor       *float64 `json:"slow-factor"`
	Refuse           *bool    `json:"refuse"`
	BreakAfterTokens *int     `json:"break-after-tokens"`
	Count            *int     `json:"count"`
	ReportLoad       *float64 `json:"report-load"`
	// LoseOrderAnswers is the number of orders whose responses are dropped after
	// the orders took effect.
	LoseOrderAnswers *int `json:"lose-order-answers"`
}

// stepTime returns the duration of the next step and clears a pending stall.
func (f *faults) stepTime(step time.Duration) time.Duration {
	d := time.Duration(float64(step)*f.slowFactor) + f.stall
	f.stall = 0
	return d
}

// breaks reports whether a generation breaks now, after this engine has produced
// made tokens of it. If so, it decrements breakCount.
func (f *faults) breaks(made int) bool {
	if f.breakCount <= 0 || made < f.breakAfter {
		return false
	}
	f.breakCount--
	return true
}

func (f *faults) apply(r faultRequest) {
	if r.StallMS != nil {
		f.stall = time.Duration(*r.StallMS) * time.Millisecond
	}
	if r.SlowFactor != nil {
		f.slowFactor = *r.SlowFactor
	}
	if r.Refuse != nil {
		f.refuse = *r.Refuse
	}
	if r.BreakAfterTokens != nil {
		f.breakAfter, f.breakCount = *r.BreakAfterTokens, 1
	}
	if r.Count != nil {
		f.breakCount = *r.Count
	}
	if r.ReportLoad != nil {
		f.reportLoad = *r.ReportLoad
	}
	if r.LoseOrderAnswers != nil {
		f.lostOrderAnswers = *r.LoseOrderAnswers
	}
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var req faultRequest
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "bad-fault")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.apply(req)
	w.WriteHeader(http.StatusNoContent)
}
