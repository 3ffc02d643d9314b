package draft_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"verbenashift/core/request/draft"
	"verbenashift/core/request/outcome"
)

// A caller's connection breaks in the middle of an obituary; the caller comes
// back and asks for what follows frame 2. The answer has grown meanwhile and
// must read on without a gap, a repeat or an end that looks whole too early.
func TestReadersStartAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := draft.New(100)
		log.Head(200, nil)
		is.NoErr(log.Append([]byte("ab")))
		got := make(chan string)
		go func() {
			r := log.Reader(2)
			defer r.Close()
			text := ""
			for {
				f, err := r.Next(context.Background())
				if err != nil || f.Kind == draft.End {
					got <- text
					return
				}
				text += string(f.Data)
			}
		}()
		synctest.Wait()
		is.NoErr(log.Append([]byte("cd")))
		is.NoErr(log.Append([]byte("ef")))
		log.End(draft.Ending{Outcome: outcome.Complete})
		is.Equal(<-got, "cdef")
		is.NoErr(log.Append([]byte("gh"))) // too late
		is.Equal(log.Size(), 6)
		is.Equal(log.Readers(), 0)
	})
}

// A target sends without end. The answer stops at its limit with an error, so
// that one caller cannot take the memory of all.
func TestLimit(t *testing.T) {
	is := is.New(t)
	log := draft.New(3)
	is.NoErr(log.Append([]byte("abc")))
	var full *draft.FullError
	is.True(errors.As(log.Append([]byte("d")), &full))
	is.Equal(full.Limit, 3)
}
