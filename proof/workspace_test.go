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

// send sends a request with a token and returns the status and the body of the response.
func (s *harness) send(method, url, token string) (int, string) {
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

// Guards against access to a response of another workspace. One home learns the request id of
// a draft of another home and requests it with its own token, at both entries. It must get
// exactly the response to an unknown id, so that even the existence of the draft stays hidden;
// the owner can read it.
func TestForeignAnswer(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.28"})
	line := s.Drafts("obituary", 1, 20)
	records := s.Play(s.ctx, line)
	s.Equal(s.verify(records).Complete, 1)
	id := records[0].Attempts[0].RequestID
	unknownID := strings.Repeat("a", len(id))
	for _, entry := range s.Entries() {
		path := entry + "/v1/requests/"
		status, body := s.send(http.MethodGet, path+id, s.Token("birch-home"))
		noStatus, noBody := s.send(http.MethodGet, path+unknownID, s.Token("birch-home"))
		s.Equal(status, noStatus)
		s.Equal(body, noBody)
		status, _ = s.send(http.MethodGet, path+id, "no-token")
		s.Equal(status, http.StatusUnauthorized)
		status, body = s.send(http.MethodGet, path+id, s.Token("harbor-home"))
		s.Equal(status, http.StatusOK)
		s.True(strings.Contains(body, "[DONE]")) // the owner gets the complete response
	}
}

// Guards against starvation by a burst. One workspace sends a large backlog at once; then
// another sends one request. It must not wait for the backlog: it must start before most of
// the earlier requests, as the order in the ledger of the engine shows.
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
	s.verify(records)
	s.Equal(records[0].Outcome, outcome.Complete)
	runs, err := s.Runs(func(ledgerRun) bool { return true })
	s.must(err)
	after := 0
	for i, r := range runs {
		if r.Workspace == "birch-home" {
			after = len(runs) - i - 1
		}
	}
	s.True(after > len(burst)/2) // most of the backlog ran after the call
}

// Guards against idempotency keys that are shared between workspaces. Two homes use the same
// key for different families. Each must get its own response, and the key of one home must
// neither return nor block the booking of the other.
func TestSameKeyInTwoWorkspaces(t *testing.T) {
	s := start(t, deployment.Shape{Block: "127.0.29"})
	var lines []client.Line
	for _, ws := range []string{"harbor-home", "birch-home"} {
		lines = append(lines,
			client.Line{Workspace: ws, Service: "job-desk", Class: "job", Prompt: ws, MayNotRepeat: true, IdempotencyKey: "family"},
			client.Line{Workspace: ws, Model: "caption", Prompt: ws, MayNotRepeat: true, IdempotencyKey: "draft"})
	}
	records := append(s.Play(s.ctx, lines), s.Begin(s.ctx, lines, "entry-2", "entry-1").Wait()...)
	s.Equal(s.verify(records).Complete, 8)
	s.Equal(s.runsByKey(), map[string]int{
		"harbor-home/family": 1, "birch-home/family": 1, "harbor-home/draft": 1, "birch-home/draft": 1,
	})
	other := lines[0]
	other.Prompt = "another family"
	refused := s.Play(s.ctx, []client.Line{other})
	s.True(refused[0].Outcome == outcome.NotRun) // the same key with another body
	s.Equal(s.runsByKey()["harbor-home/family"], 1)
}
