package deployment

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"verbenashift/core/membership/instances"
	"verbenashift/standin/client"
	"verbenashift/standin/judge"
	"verbenashift/standin/ledger"
)

// Streams returns n requests for streams of the given number of tokens, spread
// over the workspaces. The prefix makes their prompts differ from those of other
// calls.
func (d *Deployment) Streams(prefix string, n, tokens int) []client.Line {
	lines := make([]client.Line, n)
	for i := range lines {
		lines[i] = client.Line{
			Workspace: d.workspace(i), Class: "draft", Model: d.Shape.Model,
			Prompt: fmt.Sprintf("%s draft %d", prefix, i), MaxTokens: tokens,
		}
	}
	return lines
}

// Drafts returns streams that may not be repeated, each with an idempotency key.
func (d *Deployment) Drafts(prefix string, n, tokens int) []client.Line {
	lines := d.Streams(prefix, n, tokens)
	for i := range lines {
		lines[i].MayNotRepeat = true
		lines[i].IdempotencyKey = fmt.Sprintf("%s-draft-%d", prefix, i)
	}
	return lines
}

// Jobs returns n calls of the service that may not be repeated, each with an
// idempotency key.
func (d *Deployment) Jobs(prefix string, n int) []client.Line {
	lines := make([]client.Line, n)
	for i := range lines {
		lines[i] = client.Line{
			Workspace: d.workspace(i), Class: "job", Service: d.Shape.Service, Prompt: fmt.Sprintf("%s job %d", prefix, i),
			MayNotRepeat: true, IdempotencyKey: fmt.Sprintf("%s-%d", prefix, i),
		}
	}
	return lines
}

func (d *Deployment) workspace(i int) string {
	return d.Shape.Workspaces[i%len(d.Shape.Workspaces)]
}

// Playback is a workload that is being played in the background.
type Playback struct {
	player  *client.Player
	done    chan struct{}
	records []judge.Record
}

// Begin plays lines in the background against the given entries, in that order;
// none means all entries.
func (d *Deployment) Begin(ctx context.Context, lines []client.Line, entries ...string) *Playback {
	p := d.Player()
	if len(entries) > 0 {
		p.Entries = nil
		for _, e := range entries {
			p.Entries = append(p.Entries, d.Address(e))
		}
	}
	for i := range lines {
		lines[i].Number = i + 1
	}
	g := &Playback{player: p, done: make(chan struct{})}
	go func() {
		defer close(g.done)
		g.records = p.Play(ctx, lines)
	}()
	return g
}

// WaitBegun waits until at least n requests have received a part of their answer.
func (g *Playback) WaitBegun(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	return Until(ctx, func() error {
		if begun := g.player.Begun(); begun < n {
			return errors.Errorf("%d requests have begun, want at least %d", begun, n)
		}
		return nil
	})
}

// Wait waits until the workload has been played and returns the client's record.
func (g *Playback) Wait() []judge.Record {
	<-g.done
	return g.records
}

// Running returns a function that matches the runs at a target that have not
// ended; an empty target matches all targets.
func Running(target string) func(ledger.Run) bool {
	return func(r ledger.Run) bool { return r.Ended.IsZero() && (target == "" || r.Target == target) }
}

// WaitRuns waits until at least n runs match and returns them.
func (d *Deployment) WaitRuns(ctx context.Context, n int, match func(ledger.Run) bool) ([]ledger.Run, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	var runs []ledger.Run
	err := Until(ctx, func() error {
		var err error
		if runs, err = d.Runs(match); err == nil && len(runs) < n {
			err = errors.Errorf("%d runs match, want at least %d", len(runs), n)
		}
		return err
	})
	return runs, err
}

// Instances replaces the platform's list of instances.
func (d *Deployment) Instances(ctx context.Context, list ...instances.Instance) error {
	return d.post(ctx, platformName, "/instances", list)
}
