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

// Guards against a gap, a repetition or a premature end when a caller whose connection broke
// requests what follows frame 2 and the answer has grown in the meantime.
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

// Guards against one caller exhausting the memory of the agent: a target that sends without end
// gets an error at the limit of the answer.
func TestLimit(t *testing.T) {
	is := is.New(t)
	log := draft.New(3)
	is.NoErr(log.Append([]byte("abc")))
	var full *draft.FullError
	is.True(errors.As(log.Append([]byte("d")), &full))
	is.Equal(full.Limit, 3)
}
