package config

import (
	"testing"

	"github.com/matryer/is"
)

func pool(service string, names ...string) []Target {
	var targets []Target
	for _, n := range names {
		targets = append(targets, Target{Name: n, Zone: "erie", Agent: "127.0.0.1:700" + n[1:], Service: service})
	}
	return targets
}

// Guards against a key whose home is the only target of its service. Home and
// executor are different agents, so every attempt would fail for lack of a
// target.
func TestOnlyTargetIsNoHome(t *testing.T) {
	is := is.New(t)
	c := Config{Targets: append(pool("booking", "b1"), pool("desk", "d1", "d2")...)}
	is.Equal(HomeNames(c), []string{"d1", "d2"})
	is.Equal(HomeNames(Config{Targets: pool("booking", "b1")}), []string{"b1"}) // there is no other
}

// Guards against losing earlier target lists when an operator adds a target and
// removes it again. An agent that starts afterwards needs both earlier lists, in
// order: keys may have been claimed at the homes of either.
func TestPastTargetsAreRemembered(t *testing.T) {
	is := is.New(t)
	c := Config{Services: []Service{{Name: "desk"}}}
	var err error
	step := func(id string, at int64, e Edit) {
		c, err = Apply(c, Change{ID: id, UnixMillis: at, Edits: []Edit{e}})
		is.NoErr(err)
	}
	for i, target := range pool("desk", "d1", "d2") {
		step(target.Name, int64(i+1), Edit{PutTarget: &target})
	}
	extra := pool("desk", "d3")[0]
	step("add", 1000, Edit{PutTarget: &extra})
	step("share", 1500, Edit{PutService: &Service{Name: "desk"}})
	step("remove", 2000, Edit{RemoveTarget: "d3"})
	is.Equal(len(c.PastTargets), 3)
	is.Equal(c.PastTargets[1].Names, []string{"d1", "d2"})
	is.Equal(c.PastTargets[1].Revision, uint64(2))
	is.Equal(c.PastTargets[2].Names, []string{"d1", "d2", "d3"})
	is.Equal(c.PastTargets[2].Revision, uint64(4))
	step("much later", 1500+pastTargetsTTL.Milliseconds(), Edit{PutTarget: &extra})
	is.Equal(len(c.PastTargets), 2) // the one replaced at 2000 is within its life, older ones are not
}
