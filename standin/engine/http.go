package engine

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"verbenashift/standin/answer"
	"verbenashift/standin/ledger"
)

const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
	maxBody         = 64 << 20
)

// request is the body of a completion or chat completion request.
type request struct {
	Model         string           `json:"model"`
	Prompt        string           `json:"prompt"`
	Messages      []answer.Message `json:"messages"`
	MaxTokens     int              `json:"max_tokens"`
	Stream        bool             `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Priority  int     `json:"priority"`
	CacheSalt string  `json:"cache_salt"`
	Resume    *resume `json:"resume"`
}

// resume asks to continue an answer: after the first Tokens tokens, which end in
// Text, or from token From of this engine's generation RequestID.
type resume struct {
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
	RequestID string `json:"request-id"`
	From      int    `json:"from"`
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(completionsPath, e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc(chatPath, e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", e.serveCancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.serveLastOrder).Methods(http.MethodGet)
	r.HandleFunc("/faults", e.serveFaults).Methods(http.MethodPost)
	r.Handle("/ledger", e.ledger).Methods(http.MethodGet)
	if e.cfg.Rank != nil {
		e.cfg.Rank.Register(r)
	}
	return r
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "bad-request")
		return
	}
	if req.MaxTokens < 0 {
		writeError(w, http.StatusBadRequest, "bad-max-tokens")
		return
	}
	chat := r.URL.Path == chatPath
	if chat {
		req.Prompt = answer.ChatPrompt(req.Messages)
	}
	sub := e.open(w, r, req)
	if sub == nil {
		return
	}
	defer sub.close()
	a := &responder{sub: sub, g: sub.g, chat: chat, usage: req.StreamOptions.IncludeUsage}
	if req.Stream {
		a.stream(w, r)
		return
	}
	a.respond(w, r)
}

// open attaches to or starts the generation that req asks for. If it can't, it
// writes an error response and returns nil.
func (e *Engine) open(w http.ResponseWriter, r *http.Request, req request) *subscription {
	if req.Resume != nil && req.Resume.RequestID != "" {
		sub := e.attach(req.Resume.RequestID, req.Resume.From)
		if sub == nil {
			writeError(w, http.StatusNotFound, "unknown-request")
		}
		return sub
	}
	g := newGeneration(r, req)
	if !g.resume(req.Resume) {
		writeError(w, http.StatusBadRequest, "bad-resume")
		return nil
	}
	sub := e.submit(g)
	if sub == nil {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "refused")
	}
	return sub
}

func newGeneration(r *http.Request, req request) *generation {
	digest := sha256.Sum256([]byte(req.Prompt))
	total := req.MaxTokens
	if total == 0 {
		total = answer.DefaultTokens
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = rand.Text()
	}
	return &generation{
		prompt: req.Prompt,
		total:  total,
		run: ledger.Run{
			RequestID:      id,
			IdempotencyKey: r.Header.Get("Idempotency-Key"),
			Workspace:      r.Header.Get("X-Workspace"),
			Model:          req.Model,
			Digest:         hex.EncodeToString(digest[:]),
			CacheSalt:      req.CacheSalt,
			Priority:       req.Priority,
		},
	}
}

// resume skips the tokens that another engine has produced. It returns false if
// those tokens don't end in the given text.
func (g *generation) resume(from *resume) bool {
	if from == nil {
		return true
	}
	if from.Tokens < 0 || from.Tokens > g.total {
		return false
	}
	if from.Tokens > 0 && from.Text == "" {
		return false
	}
	if !strings.HasSuffix(answer.Text(g.run.Model, g.prompt, from.Tokens), from.Text) {
		return false
	}
	g.done, g.run.Resumed = from.Tokens, from.Tokens
	return true
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	was, known := e.cancel(mux.Vars(r)["id"])
	if !known {
		writeError(w, http.StatusNotFound, "unknown-request")
		return
	}
	writeJSON(w, http.StatusOK, cancelled{was.String()})
}

// cancelled is the response to a cancellation. State is the state before it, so
// "waiting" means that the generation never ran.
type cancelled struct {
	State string `json:"state"`
}

type errorBody struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, errorBody{reason})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
