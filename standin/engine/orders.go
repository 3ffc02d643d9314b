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

// Order is the body of POST /v1/orders.
type Order struct {
	Fence    uint64          `json:"fence"`
	Sequence uint64          `json:"sequence"`
	Kind     string          `json:"kind"`
	Argument json.RawMessage `json:"argument,omitempty"`
}

var orderKinds = map[string]bool{
	"load-model": true, "load-adapter": true, "set-role": true, "set-map": true, "drain": true,
}

func (e *Engine) authorized(r *http.Request) bool {
	if e.cfg.OrderToken == "" {
		return true
	}
	got := []byte(r.Header.Get("Authorization"))
	return subtle.ConstantTimeCompare(got, []byte("Bearer "+e.cfg.OrderToken)) == 1
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if !e.authorized(r) {
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
	if reason := e.applyOrder(o); reason != "" {
		writeJSON(w, http.StatusConflict, refusal{reason, e.lastOrder.Fence})
		return
	}
	e.lastOrder = o
	e.ledger.AddOrder(ledger.Order{
		Fence: o.Fence, Sequence: o.Sequence, Kind: o.Kind, Argument: o.Argument, Applied: time.Now(),
	})
	if e.faults.lostOrderAnswers > 0 {
		e.faults.lostOrderAnswers--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, e.lastOrder)
}

func (e *Engine) serveLastOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.lastOrder)
}

// applyOrder returns the reason to reject an order, or "". An expert-map order is
// applied by the rank, which compares the complete order number, so that it also
// rejects an older order with the same fencing token.
func (e *Engine) applyOrder(o Order) string {
	if o.Kind == rank.OrderKind && e.cfg.Rank != nil {
		var refused *group.RefusedError
		if errors.As(e.cfg.Rank.Apply(o.Argument), &refused) {
			return refused.Reason
		}
		return ""
	}
	if e.cfg.HonourFencing && o.Fence < e.lastOrder.Fence {
		return "stale-fence"
	}
	return ""
}

type refusal struct {
	Error string `json:"error"`
	Fence uint64 `json:"fence"`
}
