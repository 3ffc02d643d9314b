package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/agent/steering"
	"verbenashift/core/membership/lease"
	"verbenashift/core/request/target"
)

// orderTarget is a target that applies any order and reports the last one.
type orderTarget struct {
	mu   sync.Mutex
	done []target.Order
	// lose drops the answer to the next order after it took effect.
	lose bool
}

func (o *orderTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Method == http.MethodPost {
		var got target.Order
		_ = json.NewDecoder(r.Body).Decode(&got)
		o.done = append(o.done, got)
		if o.lose {
			o.lose = false
			panic(http.ErrAbortHandler)
		}
	}
	last := target.Order{}
	if n := len(o.done); n > 0 {
		last = o.done[n-1]
	}
	_ = json.NewEncoder(w).Encode(last)
}

// An order of a holder whose lease has passed to another arrives after one of its
// successor, at a target that does not check the fencing token. And the answer to
// an order is lost, after which the agent must not send another before it has read
// the target's last order.
func TestStaleOrRepeatedOrderIsRefused(t *testing.T) {
	is := is.New(t)
	o := &orderTarget{done: []target.Order{{Fence: 4, Sequence: 2, Kind: "drain"}}}
	s := httptest.NewServer(o)
	defer s.Close()
	a := &Agent{engine: target.NewEngine(strings.TrimPrefix(s.URL, "http://"), target.Options{}), groupMetrics: steering.NewMetrics()}
	g := &a.orders
	g.guard, g.started = lease.NewGuard(lease.HonoursFencing, time.Second), time.Now()
	order := func(fence, sequence uint64) string {
		resp := g.forward(t.Context(), a, target.Order{Fence: fence, Sequence: sequence, Kind: "set-role"})
		is.Equal(resp.Applied, resp.Reason == "")
		return resp.Reason
	}
	is.Equal(order(4, 2), steering.ReasonStaleFence) // learned from the target
	is.Equal(order(6, 1), "")
	is.Equal(order(5, 9), steering.ReasonStaleFence)
	o.lose = true
	is.Equal(order(6, 2), reasonAnswerLost)
	is.Equal(order(6, 2), steering.ReasonStaleFence) // it had taken effect
	is.Equal(order(6, 3), "")
	is.Equal(len(o.done), 4)
}
