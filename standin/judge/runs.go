package judge

import (
	"verbenashift/core/request/outcome"
	"verbenashift/standin/ledger"
)

// key identifies work that must run once.
type key struct{ workspace, key string }

// runs indexes the runs of all ledgers by request ID and by idempotency key.
type runs struct {
	byID  map[string][]ledger.Run
	byKey map[key][]ledger.Run
}

func indexRuns(reports []ledger.Report) runs {
	found := runs{make(map[string][]ledger.Run), make(map[key][]ledger.Run)}
	for _, report := range reports {
		for _, run := range report.Runs {
			if run.RequestID != "" {
				found.byID[run.RequestID] = append(found.byID[run.RequestID], run)
			}
			if run.IdempotencyKey != "" {
				k := key{run.Workspace, run.IdempotencyKey}
				found.byKey[k] = append(found.byKey[k], run)
			}
		}
	}
	return found
}

// countDoubled counts the runs beyond the first. Work that may not be repeated
// has one run. Other work with a key may continue at another target, but only
// within the request that first ran it; a second request with the key must not
// run.
func (v *Verdict) countDoubled(records []Record, found runs) {
	once := make(map[key]bool)
	for i := range records {
		r := &records[i]
		if r.IdempotencyKey != "" {
			k := key{r.Workspace, r.IdempotencyKey}
			once[k] = once[k] || r.MayNotRepeat
			continue
		}
		if r.MayNotRepeat {
			v.countDoubledIDs(r, found)
		}
	}
	for k, mayNotRepeat := range once {
		extra := len(found.byKey[k]) - 1
		if !mayNotRepeat {
			extra = requestIDs(found.byKey[k]) - 1
		}
		for range extra {
			v.breach(&v.Doubled, "doubled", "workspace %s key %s ran again", k.workspace, k.key)
		}
	}
}

func (v *Verdict) countDoubledIDs(r *Record, found runs) {
	seen := make(map[string]bool)
	for _, a := range r.Attempts {
		if seen[a.RequestID] {
			continue
		}
		seen[a.RequestID] = true
		for range len(found.byID[a.RequestID]) - 1 {
			v.breach(&v.Doubled, "doubled", "line %d: request %s ran again", r.Line, a.RequestID)
		}
	}
}

func requestIDs(runs []ledger.Run) int {
	ids := make(map[string]bool)
	for _, run := range runs {
		ids[run.RequestID] = true
	}
	return len(ids)
}

// checkRefusals finds runs of requests whose callers were told not-run. It looks
// them up by the request ID in the refusal, and by the key if every request with
// that key ended as not-run.
func (v *Verdict) checkRefusals(records []Record, found runs) {
	others := attemptsByID(records)
	excused := make(map[key]bool)
	for i := range records {
		if r := &records[i]; r.Outcome != outcome.NotRun {
			excused[key{r.Workspace, r.IdempotencyKey}] = true
		}
	}
	for i := range records {
		r := &records[i]
		k := key{r.Workspace, r.IdempotencyKey}
		switch {
		case hasFalseRefusal(r, found, others):
			v.breach(&v.Doubled, "doubled", "line %d: request ran although its caller was told not-run", r.Line)
		case r.Outcome == outcome.NotRun && r.IdempotencyKey != "" && !excused[k] && len(found.byKey[k]) > 0:
			v.breach(&v.Doubled, "doubled", "line %d: key %s ran although its caller was told not-run", r.Line, k.key)
		}
	}
}

func hasFalseRefusal(r *Record, found runs, others map[string][]Attempt) bool {
	for _, a := range r.Attempts {
		if a.Outcome != outcome.NotRun || a.RequestID == "" {
			continue
		}
		if contradicted(a, found.byID[a.RequestID], others) {
			return true
		}
	}
	return false
}

func attemptsByID(records []Record) map[string][]Attempt {
	byID := make(map[string][]Attempt)
	for i := range records {
		for _, a := range records[i].Attempts {
			byID[a.RequestID] = append(byID[a.RequestID], a)
		}
	}
	return byID
}

// contradicted reports whether a run contradicts the refusal a, which named the
// run's request ID. A run is legitimate only if it started after the start of an
// attempt with the same ID that itself began after the refusal.
func contradicted(a Attempt, runs []ledger.Run, byID map[string][]Attempt) bool {
	for _, run := range runs {
		requested := false
		for _, later := range byID[a.RequestID] {
			if !later.Began.Before(a.Ended) && !run.Started.Before(later.Began) {
				requested = true
			}
		}
		if !requested {
			return true
		}
	}
	return false
}

func (v *Verdict) countUnmatched(records []Record, found runs) {
	for i := range records {
		r := &records[i]
		if r.Outcome == outcome.Complete && !found.has(r) {
			v.breach(&v.Unmatched, "unmatched", "line %d: reported as complete, but no ledger has a run of it", r.Line)
		}
	}
}

func (f runs) has(r *Record) bool {
	if r.IdempotencyKey != "" && len(f.byKey[key{r.Workspace, r.IdempotencyKey}]) > 0 {
		return true
	}
	for _, a := range r.Attempts {
		if len(f.byID[a.RequestID]) > 0 {
			return true
		}
	}
	return false
}
