package main

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/config"
	"verbenashift/core/request/route"
)

// Guards against new work for the targets of an evacuated zone.
func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	is := is.New(t)
	r := newRouter(route.Options{Entry: "entry-1"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	cfg := config.Config{
		Models: []config.Model{{Name: "m"}}, EvacuatedZones: []string{"east"},
		Targets: []config.Target{
			{Name: "a", Zone: "east", Agent: "10.0.0.1:1", Model: "m"},
			{Name: "b", Zone: "west", Agent: "10.0.0.2:1", Model: "m"},
		},
	}
	r.update(config.NewIndex(cfg))
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		i, ok := r.table.Pick(&route.Query{Model: "m", Cost: 1}, time.Now(), rng)
		is.True(ok)
		is.Equal(r.table.Target(i).Name, "b")
	}
	cfg.EvacuatedZones = []string{"east", "west"}
	r.update(config.NewIndex(cfg))
	_, ok := r.table.Pick(&route.Query{Model: "m", Cost: 1}, time.Now(), rng)
	is.True(!ok)
}
