package config

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// zonesConfig has a model in two zones and a service in one of them.
func zonesConfig() Config {
	return Config{
		Models: []Model{{Name: "m"}}, Services: []Service{{Name: "s"}},
		Targets: []Target{
			{Name: "a", Zone: "east", Agent: "10.0.0.1:1", Model: "m"},
			{Name: "b", Zone: "west", Agent: "10.0.0.2:1", Model: "m"},
			{Name: "c", Zone: "west", Agent: "10.0.0.3:1", Service: "s"},
		},
	}
}

// Guards against an evacuation by mistake, which leaves a model or a service without a target.
func TestEvacuate(t *testing.T) {
	for name, tt := range map[string]struct {
		before []string
		edit   Evacuate
		want   []string
		ok     bool
	}{
		"another zone remains":    {nil, Evacuate{Zone: "east", Evacuated: true}, []string{"east"}, true},
		"the only one of s":       {nil, Evacuate{Zone: "west", Evacuated: true}, nil, false},
		"the only one, forced":    {nil, Evacuate{Zone: "west", Evacuated: true, Force: true}, []string{"west"}, true},
		"the last one":            {[]string{"west"}, Evacuate{Zone: "east", Evacuated: true}, []string{"west"}, false},
		"again":                   {[]string{"east"}, Evacuate{Zone: "east", Evacuated: true}, []string{"east"}, true},
		"no such zone":            {nil, Evacuate{Zone: "north", Evacuated: true}, nil, false},
		"no such zone, forced":    {nil, Evacuate{Zone: "north", Evacuated: true, Force: true}, []string{"north"}, true},
		"no name, forced":         {nil, Evacuate{Evacuated: true, Force: true}, nil, false},
		"restored":                {[]string{"east", "west"}, Evacuate{Zone: "west"}, []string{"east"}, true},
		"restored, not evacuated": {[]string{"east"}, Evacuate{Zone: "west"}, []string{"east"}, false},
		"sorted among the others": {[]string{"west"}, Evacuate{Zone: "east", Evacuated: true, Force: true}, []string{"east", "west"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cur := zonesConfig()
			cur.EvacuatedZones = tt.before
			next, err := Apply(cur, Change{ID: "x", Edits: []Edit{{Evacuate: &tt.edit}}})
			is.Equal(err == nil, tt.ok)
			if err != nil {
				var invalid *InvalidError
				var missing *NotFoundError
				is.True(errors.As(err, &invalid) || errors.As(err, &missing))
				return
			}
			is.Equal(len(next.EvacuatedZones), len(tt.want))
			for i := range tt.want {
				is.Equal(next.EvacuatedZones[i], tt.want[i])
			}
			is.Equal(cur.EvacuatedZones, tt.before)
			is.Equal(next.Closed(next.Targets[0]), next.Evacuated("east"))
		})
	}
}

// Guards against targets that are drained and counted as the ones that remain.
func TestDrainedTargetsDoNotReplaceAZone(t *testing.T) {
	is := is.New(t)
	cur := zonesConfig()
	cur.Targets[1].Drained = true
	_, err := Apply(cur, Change{ID: "x", Edits: []Edit{{Evacuate: &Evacuate{Zone: "east", Evacuated: true}}}})
	is.True(err != nil)
}
