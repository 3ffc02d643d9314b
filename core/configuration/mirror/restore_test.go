package mirror

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
)

// at returns a revision of an era.
func at(era, counter int64) int64 {
	r, err := kv.NewRevision(era, counter)
	if err != nil {
		panic(err)
	}
	return r
}

// inEra returns an item as a store of a later era states it.
func inEra(era int64, it kv.Item) kv.Item {
	it.Revision, it.CreateRevision = at(era, it.Revision), at(era, it.CreateRevision)
	return it
}

// Guards against a server that gets the address of another one because that one was created under a
// revision of an earlier era.
func TestNewestTargetOfAnAddressAcrossEras(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(3), entry("old", "10.0.0.1:80", "ready", 90)}, 90)
	m.Replace([]kv.Item{inEra(1, config(3)), inEra(1, entry("new", "10.0.0.1:80", "ready", 12))}, at(1, 12), false, time.Now())
	targets := m.Snapshot().Targets
	is.Equal(len(targets), 1)
	is.Equal(targets["new"].ID, "new")
	is.Equal(m.Revision(), at(1, 12))
}
