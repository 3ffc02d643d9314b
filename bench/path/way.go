package path

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"verbenashift/bench/figure"
	"verbenashift/standin/deployment"
)

// way makes the same calls through the system and past it.
type way struct {
	d      *deployment.Deployment
	client *http.Client
	entry  string
	engine string
	plain  string
	number atomic.Int64
}

func newWay(d *deployment.Deployment) *way {
	return &way{
		d: d, entry: d.Address("entry-1"), engine: d.Address("target-1"), plain: d.Address("target-2"),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * streams}},
	}
}

func (y *way) probe(name string) probe {
	return probe{d: y.d, name: name}
}

// taken is how long a call took to the first byte of its answer's body and to
// the end.
type taken struct {
	first, whole time.Duration
}

func (y *way) ping(ctx context.Context) (taken, error) {
	_, t, err := y.call(ctx, y.entry, "/services/"+y.d.Shape.Service+"/pings", `{"at":"counter"}`)
	return t, err
}

func (y *way) directPing(ctx context.Context) (taken, error) {
	_, t, err := y.call(ctx, y.plain, "/pings", `{"at":"counter"}`)
	return t, err
}

// short streams an answer of one token.
func (y *way) short(ctx context.Context) (taken, error) {
	_, t, err := y.call(ctx, y.entry, "/v1/completions", y.body(1))
	return t, err
}

func (y *way) directShort(ctx context.Context) (taken, error) {
	_, t, err := y.call(ctx, y.engine, "/v1/completions", y.body(1))
	return t, err
}

// stream reads an answer of so many tokens and checks that it is whole.
func (y *way) stream(ctx context.Context, tokens int) error {
	answer, _, err := y.call(ctx, y.entry, "/v1/completions", y.body(tokens))
	if err != nil {
		return err
	}
	// The last chunk, with the reason of the end, comes on top of the tokens.
	if got := bytes.Count(answer, []byte("data: {")); got != tokens+1 {
		return errors.Errorf("stream of %d tokens had %d chunks", tokens, got)
	}
	return nil
}

func (y *way) body(tokens int) string {
	n := strconv.FormatInt(y.number.Add(1), 10)
	return `{"model":"` + y.d.Shape.Model + `","prompt":"caption ` + n + `","stream":true,"max_tokens":` + strconv.Itoa(tokens) + `}`
}

// call makes one call and returns the whole answer, which must be a success.
func (y *way) call(ctx context.Context, address, path, body string) ([]byte, taken, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, taken{}, errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+y.d.Token(workspace))
	began := time.Now()
	resp, err := y.client.Do(req)
	if err != nil {
		return nil, taken{}, errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	var t taken
	in := bufio.NewReader(resp.Body)
	_, _ = in.Peek(1)
	t.first = time.Since(began)
	answer, err := io.ReadAll(in)
	t.whole = time.Since(began)
	if err != nil {
		return nil, t, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, t, errors.Errorf("%s%s: status %d: %s", address, path, resp.StatusCode, answer)
	}
	return answer, t, nil
}

// together makes n calls by so many workers.
func together(workers, n int, call func() error) error {
	var g errgroup.Group
	var next atomic.Int64
	for range workers {
		g.Go(func() error {
			for next.Add(1) <= int64(n) {
				if err := call(); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return g.Wait()
}

// series is one time of the same calls past the system and through it.
type series struct {
	direct, through []time.Duration
}

// alternate makes n calls of each kind by turns, after a few to warm up, and
// returns the times to the first byte and to the end.
func alternate(ctx context.Context, n int, direct, through func(context.Context) (taken, error)) (first, whole series, err error) {
	const warm = 20
	for i := range n + warm {
		d, err := direct(ctx)
		if err != nil {
			return first, whole, err
		}
		t, err := through(ctx)
		if err != nil {
			return first, whole, err
		}
		if i < warm {
			continue
		}
		first.direct, first.through = append(first.direct, d.first), append(first.through, t.first)
		whole.direct, whole.through = append(whole.direct, d.whole), append(whole.through, t.whole)
	}
	for _, list := range [][]time.Duration{first.direct, first.through, whole.direct, whole.through} {
		slices.Sort(list)
	}
	return first, whole, nil
}

// added is the figure of how much later a quantile is through the system.
func (s series) added(name string, quantile, bound float64) figure.Figure {
	direct, through := at(s.direct, quantile), at(s.through, quantile)
	return figure.Figure{
		Name: name, Value: through - direct, Unit: "us", Bound: bound, Better: figure.Lower, Baseline: direct,
		Note: "on loopback; baseline is the direct call's own quantile",
	}
}

func at(sorted []time.Duration, quantile float64) float64 {
	i := min(int(quantile*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Nanoseconds()) / 1e3
}
