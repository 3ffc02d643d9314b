package eventlog

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// stuckWriter is an output that blocks until it is released.
type stuckWriter struct{ release chan struct{} }

func (s *stuckWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Guards against requests that block when nobody reads the log: lines are dropped
// and counted instead.
func TestStuckOutputBlocksNobody(t *testing.T) {
	is := is.New(t)
	out := &stuckWriter{make(chan struct{})}
	log, stop := New(out, "p", "i", slog.LevelInfo)
	before := dropped.Value()
	for i := range 40 * bufferedLines {
		log.Info(string(rune('a'+i%26)) + time.Duration(i/100).String())
	}
	is.True(dropped.Value()-before > bufferedLines)
	close(out.release)
	stop()
}

// Guards against a flood of one message that hides the others. The others are still
// written, and the number of suppressed lines is logged.
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
		for range 10 * linesPerSecond {
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
		is.Equal(strings.Count(text, `"msg":"flood"`), linesPerSecond)
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

// Guards against a log level that is ignored: lines below it are dropped and the rest
// are still written.
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

// Guards against lines of any length that wait for an output that nobody reads.
func TestWaitingLinesAreBounded(t *testing.T) {
	is := is.New(t)
	blocked := make(chan struct{})
	w := &writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run(writerFunc(func(p []byte) (int, error) {
		<-blocked
		return len(p), nil
	}))
	before := dropped.Value()
	is.True(!w.buffer(make([]byte, maxLine+1)))
	n := 0
	for w.buffer(make([]byte, maxLine)) {
		n++
	}
	is.Equal(n, bufferedBytes/maxLine)
	_, err := w.Write(make([]byte, maxLine))
	is.NoErr(err)
	is.Equal(dropped.Value(), before+1)
	close(blocked)
	for !w.buffer(make([]byte, maxLine)) {
		runtime.Gosched()
	}
	w.stop()
}
