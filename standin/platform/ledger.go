package platform

import "net/http"

// Ledger is what GET /ledger tells.
type Ledger struct {
	Counts
	// WeightBytes counts the bytes that the weight store gave out.
	WeightBytes int64 `json:"weight-bytes"`
	// Keys holds each key's changes, oldest first.
	Keys map[string][]Change `json:"keys"`
}

// Ledger returns the counts and the history of each key.
func (p *Platform) Ledger() Ledger {
	return Ledger{
		Counts:      p.gate.snapshot(),
		WeightBytes: p.weights.given.Load(),
		Keys:        p.keys.histories(),
	}
}

func (p *Platform) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Ledger())
}
