package fleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Call is one request as its caller observed it.
type Call struct {
	ID string
	// At is when it was sent, Front the address of the gateway that it was sent to, and First the
	// first part of its prompt.
	At           time.Time
	Front, First string
	// Kind is the path prefix of the route.
	Kind string
	// Lower says that it is of the route with the lower priority; see Shape.Classes.
	Lower bool
	// Status is 0 if the connection broke before an answer.
	Status int
	// OK says that the answer was complete and the request's own.
	OK bool
	// Mismatch describes an answer that belongs to another request, is out of order,
	// or appears complete but is not. It is empty if there is no such fault.
	Mismatch string
	// Duration is the time until the call ended.
	Duration time.Duration
	// RetryAfter is the delay from the Retry-After header; 0 if there was none.
	RetryAfter time.Duration

	// path is the rest of the path after the prefix; an empty body means the default
	// body. parts are the parts of its prompt after the first, but for its own.
	path, body string
	parts      []string
	// wait is how long its caller waits for the head of the answer; 0 means eventTimeout.
	wait time.Duration
}

// sharedParts is how many first parts the prompts of all requests have.
const sharedParts = 20

// prefix returns the parts of the prompt.
func (c *Call) prefix() string {
	parts := append([]string{c.First}, c.parts...)
	return strings.Join(append(parts, c.ID), ":40,") + ":60"
}

const (
	// requestInterval is the time between the starts of two requests.
	requestInterval = 4 * time.Millisecond
	// callTimeout is how long a caller waits for the complete answer.
	callTimeout = 20 * time.Second
)

// PlayHolds sends n requests that may not be repeated to one gateway, whose callers wait longer than usual.
func PlayHolds(ctx context.Context, f *Fleet, gateway, n int, wait time.Duration) []Call {
	f.Crowd(gateway)
	defer f.Crowd(NoCrowd)
	return send(ctx, f, requestInterval, func(i int) bool { return i < n }, func(i int) *Call {
		id := newID()
		return &Call{ID: id, Kind: unsafePrefix, path: id, First: firstPart(i), wait: wait}
	})
}

// Play sends n requests of all kinds to the gateways in turn.
func Play(ctx context.Context, f *Fleet, n int) []Call {
	return play(ctx, f, func(i int) bool { return i < n })
}

// PlayUntil sends requests until the context is done, and waits for those in progress.
func PlayUntil(ctx context.Context, f *Fleet) []Call {
	return play(context.WithoutCancel(ctx), f, func(int) bool { return ctx.Err() == nil })
}

func play(ctx context.Context, f *Fleet, more func(i int) bool) []Call {
	prefixes := []string{streamPrefix, streamPrefix, safePrefix, unsafePrefix}
	return send(ctx, f, requestInterval, more, func(i int) *Call {
		id := newID()
		c := &Call{ID: id, Kind: prefixes[i%len(prefixes)], path: id, First: firstPart(i / len(prefixes))}
		if f.Shape.Classes && c.Kind == streamPrefix && i/len(prefixes)%2 == 1 {
			c.Lower, c.path = true, lowerPath+id
		}
		return c
	})
}

// PlayLower sends streams of the route with the lower priority until the context is done, and waits
// for those in progress.
func PlayLower(ctx context.Context, f *Fleet, pause time.Duration) []Call {
	return send(context.WithoutCancel(ctx), f, pause, func(int) bool { return ctx.Err() == nil }, func(i int) *Call {
		id := newID()
		return &Call{ID: id, Kind: streamPrefix, Lower: true, path: lowerPath + id, First: firstPart(i)}
	})
}

// lowerPath follows the prefix of streams in the paths of the route with the lower priority.
const lowerPath = "lower/"

// firstPart returns the first part of the i-th prompt.
func firstPart(i int) string { return fmt.Sprintf("a%02x", i%sharedParts) }

// PlayCrashingParts sends requests, no two alike, whose prompts contain one of the given parts each,
// to the gateways in turn, until the context is done. Parts that begin with "dead" crash each server
// that begins to write an answer, those that begin with "fade" after the first event. They share
// their first part with other requests.
func PlayCrashingParts(ctx context.Context, f *Fleet, kind string, parts []string, pause time.Duration) []Call {
	return send(context.WithoutCancel(ctx), f, pause, func(int) bool { return ctx.Err() == nil }, func(i int) *Call {
		id := newID()
		return &Call{ID: id, Kind: kind, path: id, First: firstPart(0), parts: parts[i%len(parts) : i%len(parts)+1]}
	})
}

// PlayCrashing repeatedly sends a request that crashes every server that runs it,
// under new request IDs and to the gateways in turn, until the context is done.
func PlayCrashing(ctx context.Context, f *Fleet, kind string, pause time.Duration) []Call {
	return send(context.WithoutCancel(ctx), f, pause, func(int) bool { return ctx.Err() == nil }, func(int) *Call {
		return &Call{ID: newID(), Kind: kind, path: "1", body: CrashText, First: firstPart(0)}
	})
}

// The kinds of requests.
const (
	Stream = streamPrefix
	Safe   = safePrefix
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends calls to the gateways in turn, with a pause between two calls.
func send(ctx context.Context, f *Fleet, pause time.Duration, more func(i int) bool, next func(i int) *Call) []Call {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20, DisableCompression: true}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: callTimeout}
	var calls []*Call
	var wg sync.WaitGroup
	for i := 0; more(i); i++ {
		front, crowded := f.front(i)
		c := next(i)
		c.Front = front
		calls = append(calls, c)
		f.Ledger.recordSent(c.ID, front)
		f.Ledger.recordRequest(c.Kind)
		with := client
		if crowded {
			with = fresh
		}
		wg.Go(func() { c.send(ctx, with, front) })
		time.Sleep(pause)
	}
	wg.Wait()
	done := make([]Call, len(calls))
	for i, c := range calls {
		done[i] = *c
	}
	return done
}

const (
	// eventTimeout is how long a caller waits for the first event and for each next one.
	eventTimeout = 2 * time.Second
	// usualDeadline is the deadline that callers state.
	usualDeadline = 8 * time.Second
)

func (c *Call) send(ctx context.Context, client *http.Client, front string) {
	c.At = time.Now()
	defer func() { c.Duration = time.Since(c.At) }()
	method, body := http.MethodPost, bytes.NewReader(bytes.Repeat([]byte("x"), 600))
	switch {
	case c.body != "":
		body = bytes.NewReader([]byte(c.body))
	case c.Kind == safePrefix:
		method, body = http.MethodGet, bytes.NewReader(nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait, deadline := eventTimeout, usualDeadline
	if c.wait > 0 {
		wait, deadline = c.wait, c.wait
	}
	timeout := time.AfterFunc(wait, cancel)
	defer timeout.Stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+c.Kind+c.path, body)
	if err != nil {
		return
	}
	req.Host = host
	req.GetBody = nil
	for k, v := range map[string]string{
		"X-Request-Id": c.ID, "X-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10), "Authorization": "Token " + secret,
		"X-Model": "m", "X-Token-Usage": "100,50", "X-Prompt-Prefix": c.prefix(),
	} {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	c.Status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		c.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	if resp.Header.Get("X-Response-Seal") != "seal-"+c.ID {
		c.Mismatch = "seal of another request"
		return
	}
	if c.Kind == streamPrefix {
		c.readStream(resp.Body, func() { timeout.Reset(eventTimeout) })
		return
	}
	data, err := io.ReadAll(resp.Body)
	c.OK = err == nil && string(data) == plainText(c.ID)
	if err == nil && !c.OK {
		c.Mismatch = "body appears complete but is not"
	}
}

// readStream checks that each part arrives once and in order, and calls onPart for
// each.
func (c *Call) readStream(r io.Reader, onPart func()) {
	lines := bufio.NewScanner(r)
	next := 1
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if text != eventText(c.ID, next) {
			c.Mismatch = fmt.Sprintf("got part %q, want part %d", text, next)
			return
		}
		onPart()
		next++
	}
	c.OK = lines.Err() == nil && next == streamEvents+1
	if lines.Err() == nil && !c.OK {
		c.Mismatch = fmt.Sprintf("stream ended normally after %d parts", next-1)
	}
}

// Verdict is the result of comparing the callers' record with the ledger.
type Verdict struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	// Refused counts calls whose callers were told that they had not run, Unknown
	// those without such an answer.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Counts of broken promises, and of map changes and skew.
	Foreign          int `json:"foreign"`
	Doubled          int `json:"doubled"`
	RanAfterRefusal  int `json:"refused-but-ran"`
	WrongAtServers   int `json:"wrong-at-servers"`
	MapMismatchSteps int `json:"map-mismatch-steps"`
	RetriesOver      int `json:"retries-over-budget"`
	MapChanges       int `json:"map-changes"`
	SkewTenths       int `json:"skew-tenths"`
	// MapChangesByGroup counts the map changes by group. The other counts sum over all
	// groups, except that SkewTenths is that of the worst group.
	MapChangesByGroup []int `json:"map-changes-of-groups"`
}

// Passed reports whether all promises were kept.
func (v Verdict) Passed() bool {
	return v.Foreign == 0 && v.Doubled == 0 && v.RanAfterRefusal == 0 && v.WrongAtServers == 0 && v.MapMismatchSteps == 0 && v.RetriesOver == 0
}

// Judge compares the callers' record with the ledger.
func Judge(f *Fleet, calls []Call) Verdict {
	v := Verdict{Requests: len(calls)}
	for _, c := range calls {
		runs := f.Ledger.Runs(c.ID)
		switch {
		case c.Mismatch != "":
			v.Foreign++
		case c.OK:
			v.Complete++
		case c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests:
			v.Refused++
			if runs > 0 {
				v.RanAfterRefusal++
			}
		default:
			v.Unknown++
		}
		if c.Kind == unsafePrefix && runs > 1 {
			v.Doubled++
		}
	}
	f.Ledger.mu.Lock()
	v.WrongAtServers = f.Ledger.invalid
	f.Ledger.mu.Unlock()
	v.RetriesOver = f.Ledger.RetriesOverBudget()
	for _, g := range f.Groups {
		g.mu.Lock()
		v.MapMismatchSteps += g.mismatchedSteps
		v.MapChanges += g.mapChanges
		v.MapChangesByGroup = append(v.MapChangesByGroup, g.mapChanges)
		v.SkewTenths = max(v.SkewTenths, int(g.skew*10))
		g.mu.Unlock()
	}
	return v
}
