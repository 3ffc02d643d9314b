// Package eventlog writes a program's log as JSON lines without blocking the
// program.
//
// Lines pass through a bounded buffer to the output: if the reader of the output is
// slow or stuck, lines are dropped and requests are not delayed. Each message is
// limited to a number of lines per second, so that a flood of one kind of line
// neither hides the others nor uses much CPU time. Dropped lines are counted, and
// the count is logged in a line of its own.
//
// # Usage
//
//	log, stop := eventlog.New(os.Stdout, "gateway", "front-1", slog.LevelInfo)
//	defer stop()
//	log.Info("request", "id", id, "outcome", "complete")
package eventlog

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linesPerSecond limits the lines of one message per second, to about
	// 40 KB per second for each message.
	linesPerSecond = 200
	// bufferedLines is how many lines may wait for the output, bufferedBytes how long they may be
	// together.
	bufferedLines = 512
	bufferedBytes = 1 << 20
	// maxLine is the longest line in bytes.
	maxLine = 16 << 10
)

// The counters of lines that were not written.
var (
	suppressed = expvar.NewInt("log-lines-over-limit")
	dropped    = expvar.NewInt("log-lines-lost")
)

// New returns a logger that writes JSON lines, each with the names of the program
// and the instance, and a function that flushes the buffered lines and stops the
// logger.
//
// Lines below the level are not formatted at all.
func New(out io.Writer, program, instance string, level slog.Level) (*slog.Logger, func()) {
	w := &writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run(out)
	h := &limiter{Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), budget: &budget{remaining: map[string]int{}}}
	return slog.New(h).With("program", program, "instance", instance), w.stop
}

// writer passes lines to the output without waiting for it.
type writer struct {
	lines chan []byte
	// buffered is the length of the lines that wait for the output.
	buffered atomic.Int64
	done     chan struct{}
	once     sync.Once
}

// Write buffers one line, or drops it if it is too long or the buffer is full. It never blocks.
func (w *writer) Write(line []byte) (int, error) {
	if !w.buffer(line) {
		dropped.Add(1)
	}
	return len(line), nil
}

// buffer buffers one line and reports whether there was room for it.
func (w *writer) buffer(line []byte) bool {
	n := int64(len(line))
	if n > maxLine {
		return false
	}
	if w.buffered.Add(n) <= bufferedBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return true
		default:
		}
	}
	w.buffered.Add(-n)
	return false
}

func (w *writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := out.Write(line); err != nil {
			// The log itself has failed, so the error is only counted.
			dropped.Add(1)
		}
		w.buffered.Add(-int64(len(line)))
	}
}

// stopTimeout limits how long stop waits for a slow output.
const stopTimeout = 200 * time.Millisecond

func (w *writer) stop() {
	w.once.Do(func() {
		timeout := time.After(stopTimeout)
		select {
		case w.lines <- nil:
		case <-timeout:
			return
		}
		select {
		case <-w.done:
		case <-timeout:
		}
	})
}

// budget counts the lines of each message in the current second.
type budget struct {
	mu        sync.Mutex
	second    int64
	remaining map[string]int
}

// take reports whether a message may be logged, and how many lines were suppressed
// in the previous second that had any lines.
func (b *budget) take(message string, now time.Time) (ok bool, omitted int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second = s
		for _, n := range b.remaining {
			omitted += max(0, -n)
		}
		clear(b.remaining)
	}
	n, seen := b.remaining[message]
	if !seen {
		n = linesPerSecond
	}
	b.remaining[message] = n - 1
	return n > 0, omitted
}

// limiter drops records that exceed the budget of their message.
type limiter struct {
	slog.Handler
	budget *budget
}

// Handle writes a record unless its message is over the budget.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	ok, omitted := l.budget.take(r.Message, r.Time)
	if omitted > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
		note.AddAttrs(slog.Int("lines", omitted))
		if err := l.Handler.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !ok {
		suppressed.Add(1)
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs keeps the limit for the derived logger.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: l.Handler.WithAttrs(attrs), budget: l.budget}
}

// WithGroup keeps the limit for the derived logger.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: l.Handler.WithGroup(name), budget: l.budget}
}
