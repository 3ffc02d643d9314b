package proof

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"verbenashift/core/request/outcome"
	"verbenashift/standin/client"
	"verbenashift/standin/deployment"
	"verbenashift/standin/judge"
)

// ask sends a request with a token and returns the status and the body.
func (s *scene) ask(method, url, token string) (int, string) {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+url, nil)
	s.must(err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	s.must(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s.must(err)
	return resp.StatusCode, string(body)
}

// One home learns the request id of a rival's obituary draft and asks for it
// with its own token, at both entries. It must get what a made-up id gets, to
// the byte, so that not even the draft's existence shows; the owner reads it.
func TestForeignAnswer(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.28"})
	line := s.Drafts("obituary", 1, 20)
	records := s.Play(s.ctx, line)
	s.Equal(s.kept(records).Complete, 1)
	id := records[0].Attempts[0].RequestID
	made := strings.Repeat("a", len(id))
	for _, entry := range s.Entries() {
		path := entry + "/v1/requests/"
		status, body := s.ask(http.MethodGet, path+id, s.Token("birch-home"))
		noStatus, nothing := s.ask(http.MethodGet, path+made, s.Token("birch-home"))
		s.Equal(status, noStatus)
		s.Equal(body, nothing)
		status, _ = s.ask(http.MethodGet, path+id, "no-token")
		s.Equal(status, http.StatusUnauthorized)
		status, body = s.ask(http.MethodGet, path+id, s.Token("harbor-home"))
		s.Equal(status, http.StatusOK)
		s.True(strings.Contains(body, "[DONE]")) // the owner has the whole of it
	}
}

// One workspace sends a closing's whole backlog at once; then a rival's family
// calls. The call may not wait for the backlog: it begins before most of the
// work that came before it, as the engine's ledger shows by its order.
func TestBurstDoesNotStarve(t *testing.T) {
	s := start(t, deployment.Shape{
		Block: "127.0.34", ModelTargets: 1, ServiceTargets: 1,
		AgentSettings: deployment.Settings{"queue.slots": "4"}, EngineFlags: []string{"-step", "2ms", "-slots", "4"},
	})
	burst := s.Streams("burst", 80, 60)
	for i := range burst {
		burst[i].Workspace = "harbor-home"
	}
	player := s.Player()
	player.Concurrency = len(burst)
	done := make(chan []judge.Record)
	go func() { done <- player.Play(s.ctx, burst) }()
	_, err := s.WaitRuns(s.ctx, 8, func(r ledgerRun) bool { return r.Workspace == "harbor-home" })
	s.must(err)
	call := s.Streams("call", 1, 4)
	call[0].Workspace = "birch-home"
	records := append(s.Play(s.ctx, call), <-done...)
	s.kept(records)
	s.Equal(records[0].Outcome, outcome.Complete)
	runs, err := s.Runs(func(ledgerRun) bool { return true })
	s.must(err)
	after := 0
	for i, r := range runs {
		if r.Workspace == "birch-home" {
			after = len(runs) - i - 1
		}
	}
	s.True(after > len(burst)/2) // most of the backlog came after the call
}

// Two homes choose the same idempotency key for different families. Each must
// get its own answer: the key belongs to the workspace, and one home's key
// must neither return nor block the other's booking.
func TestSameKeyInTwoWorkspaces(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.29"})
	var lines []client.Line
	for _, ws := range []string{"harbor-home", "birch-home"} {
		lines = append(lines,
			client.Line{Workspace: ws, Service: "job-desk", Class: "job", Prompt: ws, MayNotRepeat: true, IdempotencyKey: "family"},
			client.Line{Workspace: ws, Model: "caption", Prompt: ws, MayNotRepeat: true, IdempotencyKey: "draft"})
	}
	records := append(s.Play(s.ctx, lines), s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.Equal(s.kept(records).Complete, 8)
	s.Equal(s.byKey(), map[string]int{
		"harbor-home/family": 1, "birch-home/family": 1, "harbor-home/draft": 1, "birch-home/draft": 1,
	})
	other := lines[0]
	other.Prompt = "another family"
	refused := s.Play(s.ctx, []client.Line{other})
	s.True(refused[0].Outcome == outcome.NotRun) // the same key with another body
	s.Equal(s.byKey()["harbor-home/family"], 1)
}
