package steering

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
)

// keptContents bounds the contents that an agent remembers.
const keptContents = 16

var errNoContent = errors.New("no agent or rank has the content of the map")

// contents remembers what is in the maps that were spoken of lately, and which
// agent spoke of each. A version is the digest of its content, so that it does
// not matter who tells it.
type contents struct {
	mu    sync.Mutex
	known map[group.Version]rank.Placement
	order []group.Version
	from  map[group.Version]string
}

func newContents() *contents {
	return &contents{known: make(map[group.Version]rank.Placement), from: make(map[group.Version]string)}
}

// keep remembers a content and returns its version.
func (c *contents) keep(p rank.Placement) group.Version {
	v := p.Version()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.known[v]; ok {
		return v
	}
	c.known[v] = p
	c.order = append(c.order, v)
	for len(c.order) > keptContents {
		delete(c.known, c.order[0])
		delete(c.from, c.order[0])
		c.order = c.order[1:]
	}
	return v
}

func (c *contents) get(v group.Version) (rank.Placement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.known[v]
	return p, ok
}

// note remembers who spoke of a map, because that agent has its content.
func (c *contents) note(m group.Message, from string) {
	var v group.Version
	switch m := m.(type) {
	case group.Prepare:
		v = m.Version
	case group.Form:
		v = m.Version
	default:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.from) < keptContents {
		c.from[v] = from
	}
}

func (c *contents) speaker(v group.Version) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.from[v]
}

// Placement returns the content of a map from this agent's memory or its rank.
func (g *Participant) Placement(ctx context.Context, v group.Version) (rank.Placement, bool) {
	if p, ok := g.contents.get(v); ok {
		return p, true
	}
	p, err := g.rank.Map(ctx, v)
	if err != nil || p.Version() != v {
		return nil, false
	}
	g.contents.keep(p)
	return p, true
}

// content returns the content of a map: from this agent, from the agent that
// spoke of it, or from any other. After a change of stewards only the ranks
// have it.
func (g *Participant) content(ctx context.Context, v group.Version) (rank.Placement, error) {
	if p, ok := g.Placement(ctx, v); ok {
		return p, nil
	}
	asked := append([]string{g.contents.speaker(v)}, g.shape.Load().members...)
	for _, name := range asked {
		if name == "" || name == g.self || ctx.Err() != nil {
			continue
		}
		p, err := g.peers.Map(ctx, name, v)
		if err == nil && p.Version() == v {
			g.contents.keep(p)
			return p, nil
		}
	}
	return nil, errNoContent
}
