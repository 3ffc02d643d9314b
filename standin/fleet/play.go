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

// Call is one request as its caller saw it.
type Call struct {
	ID string
	// Kind is the prefix of the route.
	Kind string
	// Status is 0 if the connection broke before an answer.
	Status int
	// OK says that the answer was complete and the request's own.
	OK bool
	// Mismatch says that the answer was another's, or out of order, or looked
	// whole and was not.
	Mismatch string
	// Duration is the time to the end.
	Duration time.Duration
	// RetryAfter is when the caller was told to come back; 0 if it was not.
	RetryAfter time.Duration

	// path follows the prefix of the route; body is empty for the usual one.
	path, body string
}

const (
	// playPause is the pause between two requests.
	playPause = 4 * time.Millisecond
	// callerPatience is how long a caller waits in all.
	callerPatience = 20 * time.Second
)

// Play sends requests of all kinds to the gateways in turn.
func Play(ctx context.Context, f *Fleet, n int) []Call {
	return play(ctx, f, func(i int) bool { return i < n })
}

// PlayUntil sends requests until the context ends; those in progress are waited
// for all the same.
func PlayUntil(ctx context.Context, f *Fleet) []Call {
	return play(context.WithoutCancel(ctx), f, func(int) bool { return ctx.Err() == nil })
}

func play(ctx context.Context, f *Fleet, more func(i int) bool) []Call {
	prefixes := []string{streamPrefix, streamPrefix, safePrefix, unsafePrefix}
	return send(ctx, f, playPause, more, func(i int) *Call {
		id := newID()
		return &Call{ID: id, Kind: prefixes[i%len(prefixes)], path: id}
	})
}

// PlayCrashing sends a request that crashes each server that runs it, again and again under
// new identifiers to the gateways in turn, until the context ends.
func PlayCrashing(ctx context.Context, f *Fleet, kind string, pause time.Duration) []Call {
	return send(context.WithoutCancel(ctx), f, pause, func(int) bool { return ctx.Err() == nil }, func(int) *Call {
		return &Call{ID: newID(), Kind: kind, path: "1", body: crashText}
	})
}

// The kinds of requests.
const (
	Stream = streamPrefix
	Safe   = safePrefix
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends calls to the gateways in turn, with a pause between two.
func send(ctx context.Context, f *Fleet, pause time.Duration, more func(i int) bool, next func(i int) *Call) []Call {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20, DisableCompression: true}, Timeout: callerPatience}
	defer client.CloseIdleConnections()
	var calls []*Call
	var wg sync.WaitGroup
	for i := 0; more(i); i++ {
		front := f.Fronts[i%len(f.Fronts)]
		c := next(i)
		calls = append(calls, c)
		f.Ledger.sent(c.ID, front)
		wg.Go(func() { c.send(ctx, client, front) })
		time.Sleep(pause)
	}
	wg.Wait()
	done := make([]Call, len(calls))
	for i, c := range calls {
		done[i] = *c
	}
	return done
}

// gapPatience is how long a caller waits for the next event, and for the first.
const gapPatience = 2 * time.Second

func (c *Call) send(ctx context.Context, client *http.Client, front string) {
	began := time.Now()
	defer func() { c.Duration = time.Since(began) }()
	method, body := http.MethodPost, bytes.NewReader(bytes.Repeat([]byte("x"), 600))
	switch {
	case c.body != "":
		body = bytes.NewReader([]byte(c.body))
	case c.Kind == safePrefix:
		method, body = http.MethodGet, bytes.NewReader(nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leave := time.AfterFunc(gapPatience, cancel)
	defer leave.Stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+c.Kind+c.path, body)
	if err != nil {
		return
	}
	req.Host = host
	req.GetBody = nil
	for k, v := range map[string]string{
		"X-Request-Id": c.ID, "X-Deadline-Ms": "8000", "Authorization": "Token " + secret,
		"X-Model": "m", "X-Token-Usage": "100,50", "X-Prompt-Prefix": "1:40,2:60",
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
		c.readStream(resp.Body, func() { leave.Reset(gapPatience) })
		return
	}
	data, err := io.ReadAll(resp.Body)
	c.OK = err == nil && string(data) == plainText(c.ID)
	if err == nil && !c.OK {
		c.Mismatch = "body that looks whole and is not"
	}
}

// readStream checks that each part comes once and in order, and tells of each.
func (c *Call) readStream(r io.Reader, part func()) {
	lines := bufio.NewScanner(r)
	next := 1
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if text != eventText(c.ID, next) {
			c.Mismatch = fmt.Sprintf("part %q where %d was due", text, next)
			return
		}
		part()
		next++
	}
	c.OK = lines.Err() == nil && next == streamEvents+1
	if lines.Err() == nil && !c.OK {
		c.Mismatch = fmt.Sprintf("stream ended after %d parts as if it were whole", next-1)
	}
}

// Verdict is what the callers' record and the ledger say together.
type Verdict struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	// Refused were told that they have not run, Unknown were not.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// The promises that broke.
	Foreign          int `json:"foreign"`
	Doubled          int `json:"doubled"`
	RanAfterRefusal  int `json:"refused-but-ran"`
	WrongAtServers   int `json:"wrong-at-servers"`
	MapMismatchSteps int `json:"map-mismatch-steps"`
	MapChanges       int `json:"map-changes"`
	SkewTenths       int `json:"skew-tenths"`
	// MapChangesByGroup are the changes of map by group; the others count all groups together,
	// but for the skew, which is the worst of them.
	MapChangesByGroup []int `json:"map-changes-of-groups"`
}

// Passed reports whether all promises were kept.
func (v Verdict) Passed() bool {
	return v.Foreign == 0 && v.Doubled == 0 && v.RanAfterRefusal == 0 && v.WrongAtServers == 0 && v.MapMismatchSteps == 0
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
	v.WrongAtServers = f.Ledger.wrong
	f.Ledger.mu.Unlock()
	for _, g := range f.Groups {
		g.mu.Lock()
		v.MapMismatchSteps += g.mixed
		v.MapChanges += g.changes
		v.MapChangesByGroup = append(v.MapChangesByGroup, g.changes)
		v.SkewTenths = max(v.SkewTenths, int(g.skew*10))
		g.mu.Unlock()
	}
	return v
}
