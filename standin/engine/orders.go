package engine

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
	"verbenashift/standin/ledger"
)

// Order is an order as POST /v1/orders takes it.
type Order struct {
	Fence    uint64          `json:"fence"`
	Sequence uint64          `json:"sequence"`
	Kind     string          `json:"kind"`
	Argument json.RawMessage `json:"argument,omitempty"`
}

var orderKinds = map[string]bool{
	"load-model": true, "load-adapter": true, "set-role": true, "set-map": true, "drain": true,
}

func (e *Engine) allowed(r *http.Request) bool {
	if e.cfg.OrderToken == "" {
		return true
	}
	got := []byte(r.Header.Get("Authorization"))
	return subtle.ConstantTimeCompare(got, []byte("Bearer "+e.cfg.OrderToken)) == 1
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if !e.allowed(r) {
		writeError(w, http.StatusUnauthorized, "unauthorized")
		return
	}
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || !orderKinds[o.Kind] {
		writeError(w, http.StatusBadRequest, "bad-order")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusal(o); reason != "" {
		writeJSON(w, http.StatusConflict, refusal{reason, e.last.Fence})
		return
	}
	e.last = o
	e.ledger.AddOrder(ledger.Order{
		Fence: o.Fence, Sequence: o.Sequence, Kind: o.Kind, Argument: o.Argument, Applied: time.Now(),
	})
	if e.faults.orderAnswer > 0 {
		e.faults.orderAnswer--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, e.last)
}

func (e *Engine) serveLastOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.last)
}

// refusal returns why an order is not carried out, or carries it out as far as
// it concerns the rank. The rank compares whole numbers, within one fence too.
func (e *Engine) refusal(o Order) string {
	if o.Kind == rank.OrderKind && e.cfg.Rank != nil {
		var refused *group.RefusedError
		if errors.As(e.cfg.Rank.Apply(o.Argument), &refused) {
			return refused.Reason
		}
		return ""
	}
	if e.cfg.HonourFencing && o.Fence < e.last.Fence {
		return "stale-fence"
	}
	return ""
}

type refusal struct {
	Error string `json:"error"`
	Fence uint64 `json:"fence"`
}
