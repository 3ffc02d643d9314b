package client

import (
	"fmt"
	"math/rand/v2"

	"github.com/go-faster/errors"
)

// The built-in workloads, named after the deployments that they model.
const (
	Lightbox  = "lightbox"
	Lakeshore = "lakeshore"
)

const (
	workloadSeed = 7
	// Every repeatEvery-th keyed request is sent again, repeatAfter requests
	// after the first time.
	repeatEvery = 6
	repeatAfter = 3
	// firstWorkspacePercent of the requests belong to the first workspace; the
	// others are spread evenly over all workspaces, including the first.
	firstWorkspacePercent = 40
)

// Names holds the deployment-specific names that a built-in workload uses.
type Names struct {
	Workspaces []string
	Model      string
	Service    string
	// Nonce makes the keys and chapel slots of a workload differ from those of
	// other workloads on the same deployment.
	Nonce string
}

type kind struct {
	class        string
	count        int
	service      bool
	mayNotRepeat bool
	maxTokens    int
	prompt       string
}

var builtInWorkloads = map[string]struct {
	model, service string
	kinds          []kind
}{
	Lightbox: {"caption", "job-desk", []kind{
		{class: "caption", count: 80, mayNotRepeat: true, maxTokens: 24, prompt: "caption for lot %d of washed coffee, natural light"},
		{class: "scene-brief", count: 40, maxTokens: 64, prompt: "studio style notes v3\nscene brief %d: leather satchel on teff straw"},
		{class: "alt-text", count: 20, maxTokens: 12, prompt: "alt-text %d for a cotton gabi"},
		{class: "job", count: 20, service: true, mayNotRepeat: true, prompt: "render job %d"},
		{class: "ping", count: 30, service: true, prompt: "status ping %d"},
	}},
	Lakeshore: {"shared", "booking", []kind{
		{class: "obituary", count: 50, maxTokens: 96, prompt: "obituary note %d for a lake pilot"},
		{class: "service-plan", count: 40, maxTokens: 48, prompt: "service plan %d, two readings"},
		{class: "chapel-schedule", count: 20, maxTokens: 24, prompt: "chapel schedule, day %d"},
		{class: "booking", count: 50, service: true, mayNotRepeat: true, prompt: "hour %d"},
		{class: "visitation", count: 30, service: true, prompt: "family-%d"},
	}},
}

// BuiltIn returns the built-in workload of a deployment: about 200 requests in
// a fixed order, with some of the keyed requests sent twice. Empty names get
// defaults.
func BuiltIn(deployment string, names Names) ([]Line, error) {
	c, ok := builtInWorkloads[deployment]
	if !ok {
		return nil, errors.Errorf("deployment %q: want %s or %s", deployment, Lightbox, Lakeshore)
	}
	if len(names.Workspaces) == 0 {
		return nil, errors.New("no workspaces")
	}
	if names.Model == "" {
		names.Model = c.model
	}
	if names.Service == "" {
		names.Service = c.service
	}
	var lines []Line
	rng := rand.New(rand.NewPCG(workloadSeed, workloadSeed))
	for _, k := range c.kinds {
		for i := range k.count {
			lines = append(lines, k.line(i, names, rng))
		}
	}
	rng.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	lines = repeatKeys(lines)
	for i := range lines {
		lines[i].Number = i + 1
	}
	return lines, nil
}

func (k kind) line(i int, names Names, rng *rand.Rand) Line {
	l := Line{
		Workspace:    names.Workspaces[0],
		Class:        k.class,
		Prompt:       fmt.Sprintf(k.prompt, i),
		MayNotRepeat: k.mayNotRepeat,
		MaxTokens:    k.maxTokens,
	}
	if rng.IntN(100) >= firstWorkspacePercent {
		l.Workspace = names.Workspaces[rng.IntN(len(names.Workspaces))]
	}
	if k.service {
		l.Service = names.Service
	} else {
		l.Model = names.Model
	}
	if k.mayNotRepeat {
		l.IdempotencyKey = fmt.Sprintf("%s-%s-%d", names.Nonce, k.class, i)
	}
	if k.class == "booking" {
		l.Prompt = names.Nonce + " " + l.Prompt
	}
	return l
}

// repeatKeys returns lines with some of the keyed requests repeated a few
// requests later.
func repeatKeys(lines []Line) []Line {
	var out []Line
	due := make(map[int]Line)
	keyed := 0
	for i, l := range lines {
		out = append(out, l)
		if again, ok := due[i]; ok {
			out = append(out, again)
		}
		if l.IdempotencyKey == "" {
			continue
		}
		keyed++
		if keyed%repeatEvery == 0 && i+repeatAfter < len(lines) {
			due[i+repeatAfter] = l
		}
	}
	return out
}
