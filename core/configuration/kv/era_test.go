package kv

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an answer that is late, or of a replica that lags behind, taking the era back, and
// against one whose era can't be read counting as one of a store that was never restored.
func TestLatestEraOnlyRises(t *testing.T) {
	is := is.New(t)
	var e LatestEra
	for _, tt := range []struct {
		stated      string
		era, latest int64
	}{{"", 0, 0}, {"0", 0, 0}, {"2", 2, 2}, {"1", 1, 2}, {"", 0, 2}, {"3", 3, 3}} {
		era, err := e.Observe(tt.stated)
		is.NoErr(err)
		is.Equal(era, tt.era)
		is.Equal(e.Load(), tt.latest)
	}
	_, err := e.Observe("next")
	is.True(err != nil)
	is.Equal(e.Load(), int64(3))
}

func TestOutdatedRevisions(t *testing.T) {
	is := is.New(t)
	var e LatestEra
	is.True(!e.Outdates(7))
	_, err := e.Observe("1")
	is.NoErr(err)
	current, err := NewRevision(1, 7)
	is.NoErr(err)
	is.True(e.Outdates(7))
	is.True(!e.Outdates(current))
	is.True(!e.Outdates(0)) // no revision
}
