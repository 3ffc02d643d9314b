package main

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/rankpeer"
	"verbenashift/platform"
)

// A steward was frozen while another one took over and the group was formed anew. It
// wakes and still answers with the loads of before; another one answers for a group that
// it does not steer. Places chosen by these would be those of ranks that are full, or gone.
func TestDigestsOfAnEarlierLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDigests(slog.New(slog.DiscardHandler), nil)
		digest := func(group string, epoch, term int64) *rankpeer.Digest {
			return &rankpeer.Digest{Group: platform.GroupID{Name: group, Epoch: epoch}, Term: term}
		}
		is.True(d.newest("g", digest("g", 2, 30)))
		is.True(!d.newest("g", digest("h", 9, 90)))
		is.True(!d.newest("g", digest("g", 2, 29)))
		is.True(!d.newest("g", digest("g", 1, 90)))
		is.True(d.newest("g", digest("g", 2, 31)))
		is.True(d.newest("g", digest("g", 3, 20)))
		is.True(d.newest("h", digest("h", 1, 1)))
		time.Sleep(lifeValid)
		// The group has been built anew, and counts its epochs from the start.
		is.True(d.newest("g", digest("g", 0, 40)))
	})
}
