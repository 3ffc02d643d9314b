package main

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"verbenashift/core/configuration/follow"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/peer/wire/wireconnect"
	"verbenashift/core/request/draft"
	"verbenashift/core/request/outcome"
	"verbenashift/core/request/target"
)

// A target refuses, breaks off or cannot be reached. The outcome may be NotRun
// only if the request certainly did not run, because the caller then repeats it.
func TestNotRunOnlyIfTargetCertainlyDidNotRun(t *testing.T) {
	for _, tt := range []struct {
		err  error
		want outcome.Outcome
	}{
		{&target.NotSentError{Cause: errors.New("refused")}, outcome.NotRun},
		{&target.BrokenError{Cause: errors.New("reset")}, outcome.Unknown},
		{errors.New("anything else"), outcome.Unknown},
		{&target.RefusedError{Status: 503}, outcome.NotRun},
		{&target.RefusedError{Status: 500}, outcome.Failed},
		{&target.RefusedError{Status: 400}, outcome.Complete}, // the target's own answer
	} {
		t.Run(tt.err.Error(), func(t *testing.T) {
			is := is.New(t)
			r := &run{answer: &answer{log: draft.New(100)}}
			is.Equal(r.failure(t.Context(), tt.err).Outcome, tt.want)
		})
	}
}

// An agent drains, and an entry that does not know it yet sends a request. It must
// be refused at once as not run: if it were started, its answer would be broken
// off when the agent stops.
func TestDrainingAgentRefuses(t *testing.T) {
	is := is.New(t)
	a := &Agent{dispatcher: newDispatcher(Settings{Slots: 1}), follower: follow.New(follow.Config{})}
	a.draining.Store(true)
	m := http.NewServeMux()
	m.Handle(wireconnect.AgentServiceSubmitProcedure, peer.HandleFrames(a.submit))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := peer.NewServer(m, nil)
	go func() { _ = peer.Serve(server, l) }()
	defer func() { _ = server.Close() }()
	frames, err := peer.NewDialer(peer.DialConfig{}).Submit(t.Context(), l.Addr().String(), &wire.SubmitRequest{RequestId: "r1"})
	is.NoErr(err)
	var end wire.Frame
	is.NoErr(frames.Receive(&end))
	is.Equal(end.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	is.Equal(end.Reason, reasonDraining)
}

// An agent is stopped while an answer is in progress. It may stop before the bound
// only after the answer has ended.
func TestDrainWaitsForAnswers(t *testing.T) {
	is := is.New(t)
	a := &Agent{answers: newAnswers(Settings{Keep: time.Minute})}
	log := draft.New(100)
	is.True(a.answers.put(&answer{id: "r1", log: log}))
	is.True(!a.idle(0))
	log.End(draft.Ending{Outcome: outcome.Complete})
	is.True(a.idle(time.Minute))
}

// An answer takes longer than the bound of its agent's drain. Its entry must be
// told that the answer continues elsewhere, and not that it has ended.
func TestLongAnswerIsHandedOver(t *testing.T) {
	is := is.New(t)
	a := &Agent{answers: newAnswers(Settings{Keep: time.Minute})}
	log := draft.New(100)
	is.True(a.answers.put(&answer{id: "r1", log: log}))
	a.endAnswers()
	end, ended := log.Ended()
	is.True(ended && end.Handover)
	is.Equal(end.Outcome, outcome.Unknown)
}
