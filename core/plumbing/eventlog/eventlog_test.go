package eventlog

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Nobody reads the log any more. Requests must not wait for it: lines are lost
// and counted.
func TestStuckOutputBlocksNobody(t *testing.T) {
	is := is.New(t)
	out := &stuck{make(chan struct{})}
	log, stop := New(out, "p", "i", slog.LevelInfo)
	before := lost.Value()
	for i := range 40 * buffered {
		log.Info(string(rune('a'+i%26)) + time.Duration(i/100).String())
	}
	is.True(lost.Value()-before > buffered)
	close(out.release)
	stop()
}

// One kind of line floods the log. The others are still written, and what was
// left out is said.
func TestFloodOfOneMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var b bytes.Buffer
		out := writerFunc(func(p []byte) (int, error) {
			mu.Lock()
			defer mu.Unlock()
			return b.Write(p)
		})
		log, stop := New(out, "p", "i", slog.LevelInfo)
		for range 10 * perSecond {
			log.Info("flood", "id", 1)
			synctest.Wait()
		}
		log.Info("important")
		time.Sleep(time.Second)
		log.Info("next second")
		stop()
		mu.Lock()
		defer mu.Unlock()
		text := b.String()
		is.Equal(strings.Count(text, `"msg":"flood"`), perSecond)
		is.Equal(strings.Count(text, `"msg":"important"`), 1)
		is.True(strings.Contains(text, `"msg":"log lines left out"`))
		for line := range strings.Lines(text) {
			is.True(json.Valid([]byte(line)))
			is.True(strings.Contains(line, `"program":"p","instance":"i"`))
		}
	})
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

func BenchmarkLine(b *testing.B) {
	log, stop := New(writerFunc(func(p []byte) (int, error) { return len(p), nil }), "p", "i", slog.LevelInfo)
	defer stop()
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request", "id", "9c41d07be2a35f68", "status", 200, "ms", 12)
	}
}

// An operator turns the log down. What is below the level must not cost anything
// beyond the look, and the rest is still written.
func TestLevel(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, stop := New(&out, "gateway", "front-1", slog.LevelWarn)
	log.Info("request", "id", "r1")
	log.Warn("store does not answer")
	stop()
	is.True(!strings.Contains(out.String(), "r1"))
	is.True(strings.Contains(out.String(), "store does not answer"))
	off, stopOff := New(&out, "gateway", "front-1", slog.LevelError+1)
	before := out.Len()
	off.Error("nothing")
	stopOff()
	is.Equal(out.Len(), before)
}
