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

// loadClient makes the same calls through the entry and directly to the
// stand-ins.
type loadClient struct {
	d            *deployment.Deployment
	client       *http.Client
	entry        string
	engine       string
	service      string
	promptNumber atomic.Int64
}

func newLoadClient(d *deployment.Deployment) *loadClient {
	return &loadClient{
		d: d, entry: d.Address("entry-1"), engine: d.Address("target-1"), service: d.Address("target-2"),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * streams}},
	}
}

func (c *loadClient) probe(name string) probe {
	return probe{d: c.d, name: name}
}

// callTime is the time of a call until the first byte of the response body and
// until its end.
type callTime struct {
	first, total time.Duration
}

func (c *loadClient) ping(ctx context.Context) (callTime, error) {
	_, t, err := c.call(ctx, c.entry, "/services/"+c.d.Shape.Service+"/pings", `{"at":"counter"}`)
	return t, err
}

func (c *loadClient) directPing(ctx context.Context) (callTime, error) {
	_, t, err := c.call(ctx, c.service, "/pings", `{"at":"counter"}`)
	return t, err
}

// short streams a response of one token.
func (c *loadClient) short(ctx context.Context) (callTime, error) {
	_, t, err := c.call(ctx, c.entry, "/v1/completions", c.body(1))
	return t, err
}

func (c *loadClient) directShort(ctx context.Context) (callTime, error) {
	_, t, err := c.call(ctx, c.engine, "/v1/completions", c.body(1))
	return t, err
}

// stream reads a response of the given number of tokens and checks that it is
// complete.
func (c *loadClient) stream(ctx context.Context, tokens int) error {
	answer, _, err := c.call(ctx, c.entry, "/v1/completions", c.body(tokens))
	if err != nil {
		return err
	}
	// One more chunk follows the tokens: the last, with the finish reason.
	if got := bytes.Count(answer, []byte("data: {")); got != tokens+1 {
		return errors.Errorf("stream of %d tokens had %d chunks", tokens, got)
	}
	return nil
}

func (c *loadClient) body(tokens int) string {
	n := strconv.FormatInt(c.promptNumber.Add(1), 10)
	return `{"model":"` + c.d.Shape.Model + `","prompt":"caption ` + n + `","stream":true,"max_tokens":` + strconv.Itoa(tokens) + `}`
}

// call makes one call and returns the response body. A status other than 200 is
// an error.
func (c *loadClient) call(ctx context.Context, address, path, body string) ([]byte, callTime, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, callTime{}, errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.d.Token(workspace))
	began := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, callTime{}, errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	var t callTime
	in := bufio.NewReader(resp.Body)
	_, _ = in.Peek(1)
	t.first = time.Since(began)
	answer, err := io.ReadAll(in)
	t.total = time.Since(began)
	if err != nil {
		return nil, t, errors.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, t, errors.Errorf("%s%s: status %d: %s", address, path, resp.StatusCode, answer)
	}
	return answer, t, nil
}

// runConcurrently makes n calls, spread over the given number of workers.
func runConcurrently(workers, n int, call func() error) error {
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

// latencies holds the times of the same calls, made directly and through the
// system.
type latencies struct {
	direct, through []time.Duration
}

// callAlternately makes n calls of each kind in turn, after a few to warm up,
// and returns the sorted times to the first byte and to the end.
func callAlternately(ctx context.Context, n int, direct, through func(context.Context) (callTime, error)) (first, total latencies, err error) {
	const warm = 20
	for i := range n + warm {
		d, err := direct(ctx)
		if err != nil {
			return first, total, err
		}
		t, err := through(ctx)
		if err != nil {
			return first, total, err
		}
		if i < warm {
			continue
		}
		first.direct, first.through = append(first.direct, d.first), append(first.through, t.first)
		total.direct, total.through = append(total.direct, d.total), append(total.through, t.total)
	}
	for _, list := range [][]time.Duration{first.direct, first.through, total.direct, total.through} {
		slices.Sort(list)
	}
	return first, total, nil
}

// added returns the figure of the latency that the system adds at a quantile.
func (s latencies) added(name string, quantile, bound float64) figure.Figure {
	direct, through := quantileOf(s.direct, quantile), quantileOf(s.through, quantile)
	return figure.Figure{
		Name: name, Value: through - direct, Unit: "us", Bound: bound, Better: figure.Lower, Baseline: direct,
		Note: "on loopback; baseline is the direct call's own quantile",
	}
}

func quantileOf(sorted []time.Duration, quantile float64) float64 {
	i := min(int(quantile*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Nanoseconds()) / 1e3
}
