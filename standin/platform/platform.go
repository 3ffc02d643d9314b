// Package platform is a small fake of the platform's services: the key-value
// store, the list of instances and the weight store, in one process.
//
// The store speaks the messages of verbenashift/core/configuration/store/wire. It counts each
// call, answers after a delay that can be set, and keeps the history of each
// key. POST /faults sets its switches and GET /ledger tells what it did:
//
//	{"down":true}        drop each connection to the store, open watches too
//	{"latency-ms":250}   time of a call, half of it before the effect
//	{"lose-answers":2}   drop the answers to the next writes that took effect
//	{"lose-prefix":"k/"} lose only answers to writes of keys that begin so
//	{"rate-limit":300}   calls to the store in a second; 0 for no limit
//
// A field that is left out keeps its value. The instance list and the weight
// store have no part in these faults.
//
// # Usage
//
//	p := platform.New(platform.Config{Latency: 2 * time.Millisecond})
//	defer p.Close()
//	server := httptest.NewServer(p.Handler())
//	client := store.New(store.Config{Addresses: []string{server.URL}})
package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"verbenashift/core/configuration/store/wire"
)

// maxBody bounds the body of a request: two values of the largest size in
// base64 with room for their keys.
const maxBody = 3 << 20

// Config holds the settings of the fake. The zero value answers at once,
// without a lag and without limits.
type Config struct {
	// Latency is the time that a call of the store takes.
	Latency time.Duration
	// InstanceLag is the age of the instance list.
	InstanceLag time.Duration
	// WeightRate bounds the weight store, in bytes a second over all readers;
	// 0 means no bound.
	WeightRate int
	// WeightSize is the size of one expert's weights in bytes; 0 means
	// DefaultWeightSize.
	WeightSize int64
}

// Platform is the fake. Use New.
type Platform struct {
	keys      *keyspace
	gate      *gate
	instances *instanceList
	weights   *weightStore
}

// New returns a platform with an empty store and an empty list.
func New(cfg Config) *Platform {
	return &Platform{
		keys:      newKeyspace(),
		gate:      newGate(cfg.Latency),
		instances: &instanceList{lag: cfg.InstanceLag},
		weights:   newWeightStore(cfg.WeightRate, cfg.WeightSize),
	}
}

// Close stops the timers of the leases, whose keys then stay.
func (p *Platform) Close() { p.keys.close() }

// Handler returns the handler of all of the platform's paths.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	post := func(path string, h http.HandlerFunc) { r.HandleFunc(path, h).Methods(http.MethodPost) }
	post(wire.RangePath, serveCall(p, kindRange, p.keys.rangeKeys))
	post(wire.PutPath, serveCall(p, kindPut, p.keys.putKey))
	post(wire.TxnPath, serveCall(p, kindTxn, p.keys.txn))
	post(wire.GrantPath, serveCall(p, kindGrant, p.keys.grant))
	post(wire.KeepAlivePath, serveCall(p, kindKeepAlive, p.keys.keepAlive))
	post(wire.RevokePath, serveCall(p, kindRevoke, p.keys.revoke))
	post(wire.WatchPath, p.serveWatch)
	post("/faults", p.serveFaults)
	r.HandleFunc("/ledger", p.serveLedger).Methods(http.MethodGet)
	post("/instances", p.instances.servePost)
	r.HandleFunc("/instances", p.instances.serveGet).Methods(http.MethodGet)
	r.HandleFunc("/weights/{model}/{layer}/{expert}", p.weights.serve).Methods(http.MethodGet, http.MethodHead)
	return r
}

// serveCall returns the handler of one kind of call. The effect doesn't depend
// on the caller's patience: a caller that has gone away is not noticed.
func serveCall[Req, Resp any](p *Platform, kind string, f func(Req) (Resp, effect, *callError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		down := p.gate.enter(w, kind)
		if down == nil {
			return
		}
		var req Req
		if err := decode(w, r, &req); err != nil {
			writeError(w, badRequest(err.Error()))
			return
		}
		p.gate.wait(down)
		resp, done, err := f(req)
		p.gate.loseAnswer(done)
		p.gate.wait(down)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, resp)
	}
}

// decode reads one JSON message. A field that the fake doesn't know is an
// error, since to ignore it would hide a fault of the caller.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a caller that has gone away has no use for it
}

// callError is the store's refusal of a call, which then had no effect.
type callError struct {
	status int
	body   wire.Error
}

// gRPC status codes of refusals.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
)

func badRequest(message string) *callError {
	return &callError{http.StatusBadRequest, wire.Error{Code: codeInvalidArgument, Message: message}}
}

func leaseNotFound() *callError {
	return &callError{http.StatusNotFound, wire.Error{Code: codeNotFound, Message: "requested lease not found"}}
}

func writeError(w http.ResponseWriter, e *callError) { writeJSON(w, e.status, e.body) }
