package member

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against a drain that is queued behind hundreds of suspicions after the
// failure of a zone: entries would send to the draining agent for many seconds more.
func TestDrainGoesBeforeSuspicions(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 200)
	v := f.nodes[0]
	for _, in := range f.list[:150] {
		v.RecordFailure(in.Name, f.now)
	}
	leaving := New(Self{Name: "n190", Incarnation: 1, Agent: true}, rand.New(rand.NewPCG(1, 1)))
	leaving.SetDraining()
	_, err := v.Merge(leaving.Digest(nil, "n0", nil, f.now), f.now)
	is.NoErr(err)
	d, err := Decode(v.Digest(nil, "n180", nil, f.now))
	is.NoErr(err)
	is.Equal(d.Records[1].ID, idOf("n190")) // the first after the sender's own
	is.True(d.Records[1].Draining)
}
