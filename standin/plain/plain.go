// Package plain is a fake of the plain HTTP services beside the engines: the
// booking application and the job desk.
//
// # Usage
//
//	s := plain.New(plain.Config{Work: 2 * time.Millisecond}, l)
//	http.ListenAndServe(addr, s.Handler())
package plain

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"verbenashift/standin/ledger"
)

const maxBody = 8 << 20

// Config holds the settings of a service.
type Config struct {
	// Work is the duration of a call.
	Work time.Duration
	// Slots is the number of calls that run concurrently; 0 means no limit.
	Slots int
}

// Service is the fake. Use New.
type Service struct {
	cfg    Config
	ledger *ledger.Ledger
	slots  chan struct{}

	mu     sync.Mutex
	taken  map[Slot]string
	faults faults
}

// Slot is a time slot of a chapel.
type Slot struct {
	Chapel string `json:"chapel"`
	Slot   string `json:"slot"`
}

// Booking is the response to a successful booking.
type Booking struct {
	Slot
	Booking string `json:"booking"`
}

// Visitation is the response to a lookup. It depends on the id alone, so every
// workspace gets the same bytes.
type Visitation struct {
	ID    string `json:"id"`
	Place string `json:"place"`
}

// Receipt is the response to a ping or a job.
type Receipt struct {
	Kind   string `json:"kind"`
	Digest string `json:"digest"`
}

type faults struct {
	refuse bool
	stall  time.Duration
	// loseAnswers is the number of further calls that run without a response.
	loseAnswers int
}

type faultRequest struct {
	Refuse *bool `json:"refuse"`
	// StallMS delays the next call.
	StallMS *int `json:"stall-ms"`
	// LoseAnswers is the number of further calls that run and whose connections
	// are then dropped.
	LoseAnswers *int `json:"lose-answers"`
}

// New returns a service that records its runs in l.
func New(cfg Config, l *ledger.Ledger) *Service {
	s := &Service{cfg: cfg, ledger: l, taken: make(map[Slot]string)}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	return s
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", s.serveFaults).Methods(http.MethodPost)
	r.Handle("/ledger", s.ledger).Methods(http.MethodGet)
	r.HandleFunc("/bookings", s.run(s.book)).Methods(http.MethodPost)
	r.HandleFunc("/visitations/{id}", s.run(visit)).Methods(http.MethodGet)
	r.HandleFunc("/pings", s.run(acknowledge("ping", http.StatusOK))).Methods(http.MethodPost)
	r.HandleFunc("/jobs", s.run(acknowledge("job", http.StatusAccepted))).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(s.run(echo))
	return r
}

// action computes the status and body of a response.
type action func(r *http.Request, body []byte) (status int, v any)

// run returns a handler that applies the injected faults, records the call in the
// ledger, takes the configured time and responds with the result of act.
func (s *Service) run(act action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, "body-too-large")
			return
		}
		stall, lose, refuse := s.takeFaults()
		if refuse {
			s.ledger.AddRefused()
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusServiceUnavailable, "refused")
			return
		}
		if s.slots != nil {
			s.slots <- struct{}{}
			defer func() { <-s.slots }()
		}
		n, err := s.ledger.Start(newRun(r, body))
		if err != nil {
			writeError(w, http.StatusServiceUnavailable, "no-ledger")
			return
		}
		time.Sleep(s.cfg.Work + stall)
		status, v := act(r, body)
		_ = s.ledger.End(n, ledger.Result{Status: status})
		if lose {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		writeJSON(w, status, v)
	}
}

func newRun(r *http.Request, body []byte) ledger.Run {
	return ledger.Run{
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Workspace:      r.Header.Get("X-Workspace"),
		Method:         r.Method,
		Path:           r.URL.Path,
		Digest:         Digest(body),
	}
}

// Digest returns the SHA-256 digest of a body in hex.
func Digest(body []byte) string {
	d := sha256.Sum256(body)
	return hex.EncodeToString(d[:])
}

func (s *Service) book(r *http.Request, body []byte) (int, any) {
	var slot Slot
	if json.Unmarshal(body, &slot) != nil || slot.Chapel == "" || slot.Slot == "" {
		return http.StatusBadRequest, errorBody{"bad-booking"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.taken[slot]; ok {
		s.ledger.AddConflict()
		return http.StatusConflict, errorBody{"slot-taken"}
	}
	s.taken[slot] = r.Header.Get("X-Request-Id")
	return http.StatusCreated, NewBooking(slot)
}

// NewBooking returns the response to a booking of slot.
func NewBooking(slot Slot) Booking {
	return Booking{slot, Digest([]byte(slot.Chapel + "\x00" + slot.Slot))[:16]}
}

// NewVisitation returns the response to a lookup of id.
func NewVisitation(id string) Visitation {
	return Visitation{id, "chapel-" + Digest([]byte(id))[:8]}
}

func visit(r *http.Request, _ []byte) (int, any) {
	return http.StatusOK, NewVisitation(mux.Vars(r)["id"])
}

func acknowledge(kind string, status int) action {
	return func(_ *http.Request, body []byte) (int, any) {
		return status, Receipt{kind, Digest(body)}
	}
}

// Echo is the response to any other path. It shows the request as the service
// received it.
type Echo struct {
	Method  string      `json:"method"`
	Path    string      `json:"path"`
	Query   string      `json:"query,omitempty"`
	Headers http.Header `json:"headers"`
	Digest  string      `json:"digest"`
}

func echo(r *http.Request, body []byte) (int, any) {
	return http.StatusOK, Echo{r.Method, r.URL.Path, r.URL.RawQuery, r.Header, Digest(body)}
}

func (s *Service) takeFaults() (stall time.Duration, lose, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.refuse {
		return 0, false, true
	}
	stall, s.faults.stall = s.faults.stall, 0
	if s.faults.loseAnswers > 0 {
		s.faults.loseAnswers--
		lose = true
	}
	return stall, lose, false
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var req faultRequest
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "bad-fault")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Refuse != nil {
		s.faults.refuse = *req.Refuse
	}
	if req.StallMS != nil {
		s.faults.stall = time.Duration(*req.StallMS) * time.Millisecond
	}
	if req.LoseAnswers != nil {
		s.faults.loseAnswers = *req.LoseAnswers
	}
	w.WriteHeader(http.StatusNoContent)
}

type errorBody struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, errorBody{reason})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	var buf bytes.Buffer
	_ = json.NewEncoder(&buf).Encode(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(buf.Bytes())
}
