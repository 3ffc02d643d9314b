package steering

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"verbenashift/core/experts/group"
	"verbenashift/core/experts/rank"
)

// maxPlacements bounds the placements that an agent caches.
const maxPlacements = 16

var errPlacementNotFound = errors.New("no agent or rank has the content of the map")

// placementCache caches the placements of recently mentioned maps, and which
// agent mentioned each version. A version is the digest of its content, so the
// content can be accepted from any agent.
type placementCache struct {
	mu        sync.Mutex
	byVersion map[group.Version]rank.Placement
	order     []group.Version
	senders   map[group.Version]string
}

func newPlacementCache() *placementCache {
	return &placementCache{byVersion: make(map[group.Version]rank.Placement), senders: make(map[group.Version]string)}
}

// add caches a placement and returns its version.
func (c *placementCache) add(p rank.Placement) group.Version {
	v := p.Version()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byVersion[v]; ok {
		return v
	}
	c.byVersion[v] = p
	c.order = append(c.order, v)
	for len(c.order) > maxPlacements {
		delete(c.byVersion, c.order[0])
		delete(c.senders, c.order[0])
		c.order = c.order[1:]
	}
	return v
}

func (c *placementCache) get(v group.Version) (rank.Placement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.byVersion[v]
	return p, ok
}

// noteSender records who sent a message about a map, because that agent has its
// content.
func (c *placementCache) noteSender(m group.Message, from string) {
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
	if len(c.senders) < maxPlacements {
		c.senders[v] = from
	}
}

func (c *placementCache) sender(v group.Version) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.senders[v]
}

// Placement returns the content of a map from this agent's cache or its rank.
func (g *Participant) Placement(ctx context.Context, v group.Version) (rank.Placement, bool) {
	if p, ok := g.placements.get(v); ok {
		return p, true
	}
	p, err := g.rank.Map(ctx, v)
	if err != nil || p.Version() != v {
		return nil, false
	}
	g.placements.add(p)
	return p, true
}

// findPlacement returns the content of a map: from this agent, from the agent
// that mentioned it, or from any other. After a change of coordinators only the
// ranks have it.
func (g *Participant) findPlacement(ctx context.Context, v group.Version) (rank.Placement, error) {
	if p, ok := g.Placement(ctx, v); ok {
		return p, nil
	}
	names := append([]string{g.placements.sender(v)}, g.shape.Load().members...)
	for _, name := range names {
		if name == "" || name == g.self || ctx.Err() != nil {
			continue
		}
		p, err := g.peers.Map(ctx, name, v)
		if err == nil && p.Version() == v {
			g.placements.add(p)
			return p, nil
		}
	}
	return nil, errPlacementNotFound
}
