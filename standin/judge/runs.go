package judge

import (
	"verbenashift/core/request/outcome"
	"verbenashift/standin/ledger"
)

// key identifies work that runs once.
type key struct{ workspace, key string }

// runs finds the runs of the ledgers.
type runs struct {
	byID  map[string][]ledger.Run
	byKey map[key][]ledger.Run
}

func index(reports []ledger.Report) runs {
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

// doubles counts the runs beyond the first. Work that may not be repeated has
// one run. Other work with a key may go on at another target, but only within
// the request that first ran it; a second request with the key runs nothing.
func (v *Verdict) doubles(records []Record, found runs) {
	once := make(map[key]bool)
	for i := range records {
		r := &records[i]
		if r.IdempotencyKey != "" {
			k := key{r.Workspace, r.IdempotencyKey}
			once[k] = once[k] || r.MayNotRepeat
			continue
		}
		if r.MayNotRepeat {
			v.doubledIDs(r, found)
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

func (v *Verdict) doubledIDs(r *Record, found runs) {
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

// refusals finds runs of what a caller was told had not run: by the request
// id that it was told, and by the key where nobody was told otherwise.
func (v *Verdict) refusals(records []Record, found runs) {
	others := attemptsByID(records)
	told := make(map[key]bool)
	for i := range records {
		if r := &records[i]; r.Outcome != outcome.NotRun {
			told[key{r.Workspace, r.IdempotencyKey}] = true
		}
	}
	for i := range records {
		r := &records[i]
		k := key{r.Workspace, r.IdempotencyKey}
		switch {
		case untrueAttempt(r, found, others):
			v.breach(&v.Doubled, "doubled", "line %d: a request ran, caller was told not-run", r.Line)
		case r.Outcome == outcome.NotRun && r.IdempotencyKey != "" && !told[k] && len(found.byKey[k]) > 0:
			v.breach(&v.Doubled, "doubled", "line %d: key %s ran, caller was told not-run", r.Line, k.key)
		}
	}
}

func untrueAttempt(r *Record, found runs, others map[string][]Attempt) bool {
	for _, a := range r.Attempts {
		if a.Outcome != outcome.NotRun || a.RequestID == "" {
			continue
		}
		if untrue(a, found.byID[a.RequestID], others) {
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

// untrue reports whether a run belies the refusal a, which named the run's
// request id. A run is excused only if an attempt that began after the refusal
// had the same id and asked for it.
func untrue(a Attempt, runs []ledger.Run, byID map[string][]Attempt) bool {
	for _, run := range runs {
		asked := false
		for _, later := range byID[a.RequestID] {
			if !later.Began.Before(a.Ended) && !run.Started.Before(later.Began) {
				asked = true
			}
		}
		if !asked {
			return true
		}
	}
	return false
}

func (v *Verdict) unmatched(records []Record, found runs) {
	for i := range records {
		r := &records[i]
		if r.Outcome == outcome.Complete && !found.has(r) {
			v.breach(&v.Unmatched, "unmatched", "line %d: complete, but no ledger shows a run", r.Line)
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
