package main

import (
	"sync"
	"time"

	"verbenashift/core/peer/wire"
)

// fleet holds what heartbeats have told of the agents.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]node
}

// node is an agent as last heard.
type node struct {
	revision    uint64
	incarnation uint64
	draining    bool
	queued      uint64
	running     uint32
	heard       time.Time
}

func newFleet() *fleet {
	return &fleet{nodes: make(map[string]node)}
}

func (f *fleet) heard(name string, m *wire.ExchangeResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = node{
		revision: m.Revision, incarnation: m.GetLoad().GetIncarnation(), draining: m.GetLoad().GetDraining(),
		queued: m.GetLoad().GetQueued(), running: m.GetLoad().GetRunning(), heard: time.Now(),
	}
}

func (f *fleet) get(name string) (node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.nodes[name]
	return n, ok
}
