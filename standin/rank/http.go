package rank

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
)

// LedgerPrefix is the path prefix of the rank's ledger and faults.
const LedgerPrefix = "/rank"

// faults are the injected faults of the rank.
type faults struct {
	ignoreWait bool
	stallUntil time.Time
}

// faultRequest is the body of POST /rank/faults. Omitted fields stay unchanged.
type faultRequest struct {
	// IgnoreWait makes the rank keep its old map at the step of a switch.
	IgnoreWait *bool `json:"ignore-wait"`
	StallMS    *int  `json:"stall-ms"`
}

// Register adds the rank's routes to its engine's router.
func (r *Rank) Register(m *mux.Router) {
	m.HandleFunc(rank.StatePath, r.serveState).Methods(http.MethodGet)
	m.HandleFunc(rank.MapsPath+"{version}", r.serveMap).Methods(http.MethodGet)
	m.HandleFunc(rank.LoadsPath, r.serveLoads).Methods(http.MethodGet)
	m.HandleFunc(rank.WeightsPath, r.serveWeights).Methods(http.MethodPost)
	m.HandleFunc(LedgerPrefix+"/ledger", r.serveLedger).Methods(http.MethodGet)
	m.HandleFunc(LedgerPrefix+"/faults", r.serveFaults).Methods(http.MethodPost)
}

func (r *Rank) serveState(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.State()) }

func (r *Rank) serveLedger(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Ledger()) }

func (r *Rank) serveLoads(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Loads(time.Now())) }

func (r *Rank) serveMap(w http.ResponseWriter, req *http.Request) {
	v, err := strconv.ParseUint(mux.Vars(req)["version"], 10, 64)
	if err != nil {
		http.Error(w, "bad version", http.StatusBadRequest)
		return
	}
	p, ok := r.Map(group.Version(v))
	if !ok {
		http.Error(w, "no such map", http.StatusNotFound)
		return
	}
	writeJSON(w, p)
}

func (r *Rank) serveWeights(w http.ResponseWriter, req *http.Request) {
	var part rank.WeightsRequest
	if err := json.NewDecoder(req.Body).Decode(&part); err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	n, err := r.Fetch(req.Context(), part)
	if err != nil {
		http.Error(w, "weight store does not answer", http.StatusBadGateway)
		return
	}
	writeJSON(w, rank.WeightsResponse{Read: n})
}

func (r *Rank) serveFaults(w http.ResponseWriter, req *http.Request) {
	var f faultRequest
	dec := json.NewDecoder(req.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, "bad fault", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.IgnoreWait != nil {
		r.faults.ignoreWait = *f.IgnoreWait
	}
	if f.StallMS != nil {
		r.faults.stallUntil = time.Now().Add(time.Duration(*f.StallMS) * time.Millisecond)
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
