package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
)

// Guards against passing old items to a listener of changes, and against reading the store for
// listeners of changes alone.
func TestListenChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		read := map[string]bool{}
		s := &script{
			rangeOf: func(prefix string) (kv.Page, error) {
				read[prefix] = true
				if prefix == testOperatorPrefix {
					return kv.Page{Items: []kv.Item{config(3)}, Revision: 10}, nil
				}
				return kv.Page{Revision: 10}, nil
			},
			watch: func(after int64) (kv.Page, error) {
				if after < 12 {
					return kv.Page{Items: []kv.Item{{Key: "news/a", Revision: 11}, {Key: "other/a", Revision: 12}}, Revision: 12}, nil
				}
				return kv.Page{Revision: 12}, nil
			},
		}
		f := NewFollower(s, testFormats(), quiet())
		var received []string
		f.ListenChanges("news/", func(items []kv.Item) {
			for _, it := range items {
				received = append(received, it.Key)
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		is.Equal(received, []string{"news/a"})
		is.True(!read["news/"])
	})
}

// Guards against a process that is not notified when the store stops answering.
func TestLostStoreIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{rangeOf: func(string) (kv.Page, error) { return kv.Page{}, context.DeadlineExceeded }}
		f := NewFollower(s, testFormats(), quiet())
		lost := 0
		f.OnStoreUnreachable(func() { lost++ })
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		is.Equal(lost, 1)
	})
}
