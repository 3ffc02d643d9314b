package config_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenashift/core/configuration/config"
)

func answersFrom(requestedAt time.Time, revisions map[string]uint64) []config.PeerAnswer {
	var list []config.PeerAnswer
	for name, r := range revisions {
		list = append(list, config.PeerAnswer{From: name, Bootstrapped: true, Revision: r, RequestedAt: requestedAt})
	}
	return list
}

func TestBootstrap(t *testing.T) {
	now := time.Unix(100, 0)
	base := config.Startup{Self: "a", Electorate: []string{"a", "b", "c", "d", "e"}, Started: now}
	with := func(edit func(*config.Startup)) config.Startup {
		s := base
		edit(&s)
		return s
	}
	three := answersFrom(now, map[string]uint64{"b": 4, "c": 4, "d": 5})
	tests := []struct {
		name     string
		startup  config.Startup
		answers  []config.PeerAnswer
		step     config.Step
		revision uint64
		from     string
	}{
		{"alone", base, nil, config.StepQuery, 0, ""},
		{"two of five", base, three[:2], config.StepQuery, 0, ""},
		{"peers outside the electorate do not count", base, append(three[:2:2], answersFrom(now, map[string]uint64{"x": 9, "a": 9})...), config.StepQuery, 0, ""},
		{"the same peer twice", base, append(three[:2:2], three[0]), config.StepQuery, 0, ""},
		{"peers that are still starting do not count", base, append(three[:2:2], config.PeerAnswer{From: "e", Revision: 9, RequestedAt: now}), config.StepQuery, 0, ""},
		{"answers to an earlier process", base, answersFrom(now.Add(-time.Second), map[string]uint64{"b": 4, "c": 4, "d": 4}), config.StepQuery, 0, ""},
		{"majority", base, three, config.StepFetch, 5, "d"},
		{"majority, behind", with(func(s *config.Startup) { s.FetchedRevision = 4 }), three, config.StepFetch, 5, "d"},
		{"majority, held", with(func(s *config.Startup) { s.FetchedRevision = 5 }), three, config.StepServe, 5, ""},
		{"store", with(func(s *config.Startup) { s.StoreRevision, s.StoreAnswered = 7, true }), nil, config.StepFetch, 7, ""},
		{"store, held", with(func(s *config.Startup) { s.StoreRevision, s.StoreAnswered, s.FetchedRevision = 7, true, 7 }), nil, config.StepServe, 7, ""},
		{"store without a configuration", with(func(s *config.Startup) { s.StoreAnswered = true }), nil, config.StepServe, 0, ""},
		{"store behind its peers", with(func(s *config.Startup) { s.StoreRevision, s.StoreAnswered = 3, true }), three, config.StepFetch, 5, "d"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := config.Bootstrap(tt.startup, tt.answers, now)
			is.Equal(d.Step, tt.step)
			is.Equal(d.Revision, tt.revision)
			is.Equal(d.From, tt.from)
		})
	}
	is := is.New(t)
	is.Equal(config.Bootstrap(base, three, now.Add(time.Minute)).Step, config.StepQuery) // answers grow old
}

// member is one process of the electorate in the model below.
type member struct {
	bootstrapped bool
	held         uint64
	// floor is the revision that a majority held when the process started.
	floor   uint64
	started time.Time
	answers []config.PeerAnswer
}

// electorate is five members that exchange revisions while the store is down.
// majorityHeld is the oracle: the highest revision that a majority of
// bootstrapped members ever held at once.
type electorate struct {
	now          time.Time
	newest       uint64
	majorityHeld uint64
	members      map[string]*member
}

var memberNames = []string{"a", "b", "c", "d", "e"}

func (e *electorate) restart(name string) {
	e.members[name] = &member{started: e.now, floor: e.majorityHeld}
}

// spread copies the revision of one bootstrapped member to another.
func (e *electorate) spread(from, to string) {
	if a, b := e.members[from], e.members[to]; a.bootstrapped && b.bootstrapped {
		b.held = max(b.held, a.held)
	}
}

// query gives a starting member the answer of a peer, and lets it finish its
// start if that suffices.
func (e *electorate) query(name, peer string) {
	m, p := e.members[name], e.members[peer]
	if m.bootstrapped {
		return
	}
	m.answers = append(m.answers, config.PeerAnswer{From: peer, Bootstrapped: p.bootstrapped, Revision: p.held, RequestedAt: e.now})
	startup := config.Startup{Self: name, Electorate: memberNames, Started: m.started, FetchedRevision: m.held}
	d := config.Bootstrap(startup, m.answers, e.now)
	if d.Step == config.StepFetch {
		m.held = e.members[d.From].held
		startup.FetchedRevision = m.held
		d = config.Bootstrap(startup, m.answers, e.now)
	}
	m.bootstrapped = d.Step == config.StepServe
}

// check compares what each process serves with the revision that a majority
// held when it started, and then updates that revision.
func (e *electorate) check(t *rapid.T) {
	var held []uint64
	for name, m := range e.members {
		if !m.bootstrapped {
			continue
		}
		if m.held < m.floor {
			t.Fatalf("%s serves revision %d although a majority held %d", name, m.held, m.floor)
		}
		held = append(held, m.held)
	}
	slices.Sort(held)
	if n := len(held); n >= 3 {
		e.majorityHeld = max(e.majorityHeld, held[n-3])
	}
}

// Guards against the loss of a revision that was in force on all members when
// all of them restart one after another while the store is down: the ones that
// held it lose their memory, and each new process takes the configuration of a
// peer that had missed it.
func TestBootstrapKeepsWhatAMajorityHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &electorate{now: time.Unix(1000, 0), members: map[string]*member{}}
		for _, name := range memberNames {
			e.members[name] = &member{bootstrapped: true}
		}
		name := rapid.SampledFrom(memberNames)
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				if m := e.members[name.Draw(t, "at")]; m.bootstrapped {
					e.newest++
					m.held = e.newest
				}
			},
			"keep": func(t *rapid.T) {
				e.newest++
				for _, n := range rapid.Permutation(memberNames).Draw(t, "majority")[:3] {
					if m := e.members[n]; m.bootstrapped {
						m.held = e.newest
					}
				}
			},
			"spread":  func(t *rapid.T) { e.spread(name.Draw(t, "from"), name.Draw(t, "to")) },
			"restart": func(t *rapid.T) { e.restart(name.Draw(t, "node")) },
			"ask": func(t *rapid.T) {
				node := name.Draw(t, "node")
				for _, peer := range rapid.Permutation(memberNames).Draw(t, "peers")[:3] {
					e.query(node, peer)
				}
			},
			"wait": func(*rapid.T) { e.now = e.now.Add(time.Second) },
			"":     e.check,
		})
	})
}

// Guards against a start with an older configuration than the one in force, from a store that has come
// back from an older copy, and against one that waits for peers that will not answer.
func TestBootstrapFromARestoredStore(t *testing.T) {
	is := is.New(t)
	started := time.Unix(1000, 0)
	s := config.Startup{
		Self: "a", Electorate: []string{"a", "b", "c"}, Started: started,
		StoreAnswered: true, StoreRestored: true, StoreRevision: 5, FetchedRevision: 5,
	}
	now := started.Add(time.Second)
	is.Equal(config.Bootstrap(s, nil, now).Step, config.StepQuery)
	newer := []config.PeerAnswer{{From: "b", Bootstrapped: true, Revision: 7, RequestedAt: now}}
	is.Equal(config.Bootstrap(s, newer, started.Add(config.MaxAnswerAge)), config.Decision{Step: config.StepFetch, From: "b", Revision: 7, Answers: 1, Quorum: 2})
	is.Equal(config.Bootstrap(s, nil, started.Add(config.MaxAnswerAge)).Step, config.StepServe)
	same := []config.PeerAnswer{
		{From: "b", Bootstrapped: true, Revision: 5, RequestedAt: now},
		{From: "c", Bootstrapped: true, Revision: 5, RequestedAt: now},
	}
	is.Equal(config.Bootstrap(s, same, now).Step, config.StepServe) // a majority needs no wait
}
