// Package eventlog writes a program's log as JSON lines that never hold up the
// program.
//
// Lines go through a bounded buffer to the output: a slow or stuck reader of
// the output loses lines, not requests. Each message may be logged only so
// often a second, so that a flood of one kind of line does not hide the others
// or cost the processor. What was left out is counted, and said in a line of
// its own.
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
	"time"
)

const (
	// perSecond is how many lines of one message are written in a second:
	// some 40 KB a second at most for each message.
	perSecond = 200
	// buffered is how many lines may wait for the output.
	buffered = 512
)

// The counters of lines that were not written.
var (
	suppressed = expvar.NewInt("log-lines-over-limit")
	lost       = expvar.NewInt("log-lines-lost")
)

// New returns a logger of JSON lines that names the program and the instance in
// each line, and a function that writes what waits and stops.
//
// Lines below the level are not made at all.
func New(out io.Writer, program, instance string, level slog.Level) (*slog.Logger, func()) {
	w := &writer{lines: make(chan []byte, buffered), done: make(chan struct{})}
	go w.run(out)
	h := &limiter{Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), budget: &budget{left: map[string]int{}}}
	return slog.New(h).With("program", program, "instance", instance), w.stop
}

// writer hands lines to the output without waiting for it.
type writer struct {
	lines chan []byte
	done  chan struct{}
	once  sync.Once
}

// Write takes one line. It never waits.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		lost.Add(1)
	}
	return len(line), nil
}

func (w *writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := out.Write(line); err != nil {
			// There is nowhere to say it but the counter.
			lost.Add(1)
		}
	}
}

// stopWait bounds how long a stop waits for a slow output.
const stopWait = 200 * time.Millisecond

func (w *writer) stop() {
	w.once.Do(func() {
		limit := time.After(stopWait)
		select {
		case w.lines <- nil:
		case <-limit:
			return
		}
		select {
		case <-w.done:
		case <-limit:
		}
	})
}

// budget counts the lines of each message in the present second.
type budget struct {
	mu     sync.Mutex
	second int64
	left   map[string]int
}

// take reports whether a message may be logged, and how many lines were left
// out in the second that has just ended.
func (b *budget) take(message string, now time.Time) (ok bool, leftOut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second = s
		for _, n := range b.left {
			leftOut += max(0, -n)
		}
		clear(b.left)
	}
	n, seen := b.left[message]
	if !seen {
		n = perSecond
	}
	b.left[message] = n - 1
	return n > 0, leftOut
}

// limiter drops records that are over the budget of their message.
type limiter struct {
	slog.Handler
	budget *budget
}

// Handle writes a record if its message may be logged.
func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	ok, leftOut := l.budget.take(r.Message, r.Time)
	if leftOut > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
		note.AddAttrs(slog.Int("lines", leftOut))
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
