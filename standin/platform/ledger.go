package platform

import "net/http"

// Ledger is the content of GET /ledger.
type Ledger struct {
	Counts
	// WeightBytes counts the bytes that the weight store has served.
	WeightBytes int64 `json:"weight-bytes"`
	// Keys holds each key's changes, oldest first.
	Keys map[string][]Change `json:"keys"`
}

// Ledger returns the counts and the history of each key.
func (p *Platform) Ledger() Ledger {
	return Ledger{
		Counts:      p.injector.snapshot(),
		WeightBytes: p.weights.served.Load(),
		Keys:        p.keys.histories(),
	}
}

func (p *Platform) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Ledger())
}
