package kv

import (
	"encoding/json"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against a revision of a restored store that counts as older than one from before.
func TestRevisionsOfLaterErasAreHigher(t *testing.T) {
	is := is.New(t)
	before, err := NewRevision(0, 1<<counterBits-1)
	is.NoErr(err)
	after, err := NewRevision(1, 1)
	is.NoErr(err)
	is.True(after > before)
	is.Equal(Era(before), int64(0))
	is.Equal(Era(after), int64(1))
	is.Equal(Counter(after), int64(1))
}

func TestRevisionIsTheCounterWithoutRestores(t *testing.T) {
	is := is.New(t)
	r, err := NewRevision(0, 412)
	is.NoErr(err)
	is.Equal(r, int64(412))
}

// Guards against numbers that overlap, or that lose digits in JSON.
func TestRevisionBounds(t *testing.T) {
	is := is.New(t)
	for _, bad := range []RevisionError{{Era: -1}, {Era: maxEra + 1}, {Counter: -1}, {Counter: 1 << counterBits}} {
		_, err := NewRevision(bad.Era, bad.Counter)
		var got *RevisionError
		is.True(errors.As(err, &got))
		is.Equal(*got, bad)
	}
	highest, err := NewRevision(maxEra, 1<<counterBits-1)
	is.NoErr(err)
	data, err := json.Marshal(highest)
	is.NoErr(err)
	var number float64
	is.NoErr(json.Unmarshal(data, &number))
	is.Equal(int64(number), highest)
}
