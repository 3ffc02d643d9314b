// Package platform is a fake of the platform's services: the key-value store, the
// list of instances and the weight store, in one process.
//
// The store uses the messages of verbenashift/core/configuration/store/wire. It
// counts the calls, responds after a configurable latency and keeps the history
// of each key. GET /ledger returns the counts and histories, and POST /faults
// injects faults:
//
//	{"down":true}        drop each connection to the store, open watches too
//	{"latency-ms":250}   latency of a call, half of it before the effect
//	{"lose-answers":2}   drop the responses to the next writes that took effect
//	{"lose-prefix":"k/"} drop only responses to writes of keys with this prefix
//	{"rate-limit":300}   calls of the store per second; 0 for no limit
//
// POST /copy makes a copy of the store, and POST /restore brings the last copy back: the Store-Era
// header of all answers rises, and revisions and leases are given out again.
//
// An omitted field keeps its value. The faults don't affect the instance list and
// the weight store.
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
	"sync"
	"time"

	"github.com/gorilla/mux"

	"verbenashift/core/configuration/store/wire"
)

// maxBody is the largest body of a request: two values of the maximum size in
// base64, plus their keys.
const maxBody = 3 << 20

// Config holds the settings of the fake. The zero value has no latency, lag or
// limits.
type Config struct {
	// Latency is the duration of a call of the store.
	Latency time.Duration
	// InstanceLag is the age of the instance list.
	InstanceLag time.Duration
	// WeightRate limits the weight store, in bytes per second over all readers;
	// 0 means no limit.
	WeightRate int
	// WeightSize is the size of one expert's weights in bytes; 0 means
	// DefaultWeightSize.
	WeightSize int64
}

// Platform is the fake platform. Use New.
type Platform struct {
	keys      *keyspace
	injector  *faultInjector
	instances *instanceList
	weights   *weightStore

	mu    sync.Mutex
	older *dataCopy // what the next restore brings back
}

// New returns a platform with an empty store and an empty list.
func New(cfg Config) *Platform {
	return &Platform{
		keys:      newKeyspace(),
		injector:  newFaultInjector(cfg.Latency),
		instances: &instanceList{lag: cfg.InstanceLag},
		weights:   newWeightStore(cfg.WeightRate, cfg.WeightSize),
	}
}

// Close stops the timers of the leases. Their keys remain.
func (p *Platform) Close() { p.keys.close() }

// Handler returns the handler of all paths of the platform.
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
	post("/copy", p.serveCopy)
	post("/restore", p.serveRestore)
	r.HandleFunc("/ledger", p.serveLedger).Methods(http.MethodGet)
	post("/instances", p.instances.servePost)
	r.HandleFunc("/instances", p.instances.serveGet).Methods(http.MethodGet)
	r.HandleFunc("/weights/{model}/{layer}/{expert}", p.weights.serve).Methods(http.MethodGet, http.MethodHead)
	return r
}

// serveCall returns the handler of one kind of call. The call takes effect even if
// the caller has disconnected.
func serveCall[Req, Resp any](p *Platform, kind string, f func(Req) (Resp, changedKeys, *callError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		down := p.injector.enter(w, kind)
		if down == nil {
			return
		}
		var req Req
		if err := decode(w, r, &req); err != nil {
			writeError(w, badRequest(err.Error()))
			return
		}
		p.injector.wait(down)
		p.stateEra(w)
		resp, done, err := f(req)
		p.injector.loseAnswer(done)
		p.injector.wait(down)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, resp)
	}
}

// decode reads one JSON message. An unknown field is an error, since ignoring it
// would hide a bug of the caller.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has disconnected
}

// callError is the error response to a call that had no effect.
type callError struct {
	status int
	body   wire.Error
}

// gRPC status codes of error responses.
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
