package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/store/wire"
)

// errWatchEnded is the cause when the store ends a watch without a reason.
var errWatchEnded = errors.New("the store ended the watch")

// Watch calls f sequentially and in order for each change of key after
// fromVersion, and blocks until the watch ends. It always returns an error: that
// of ctx; *CompactedError if the changes after fromVersion are no longer
// retained, also because the service has come back from an older copy; otherwise *RefusedError or *UnavailableError. The caller resumes from
// the version of the last event it saw.
//
// A dead connection is detected by TCP keep-alive probes within about ten
// seconds, but a store that hangs cannot be told from a key without changes: a
// caller that must detect this bounds the watch by ctx, or reads the key
// periodically.
func (c *Client) Watch(ctx context.Context, key string, fromVersion int64, f func(KV)) error {
	if c.era.Outdates(fromVersion) {
		return &CompactedError{Key: key}
	}
	req := wire.WatchRequest{Create: wire.WatchCreate{Key: []byte(key), StartRevision: counter(fromVersion) + 1}}
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if len(c.bases) == 0 {
		return unavailable(opWatch, errNoAddress)
	}
	index := int(c.preferred.Load())
	err = c.watchAt(ctx, c.bases[index], call{op: opWatch, key: key}, fromVersion, body, f)
	var compacted *CompactedError
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.As(err, &compacted) || isDecision(err):
		return err
	default:
		c.preferNext(index)
		return unavailable(opWatch, err)
	}
}

// watchAt runs a watch at one address. The call's timeout bounds the time until
// the store confirms the watch; there is no timeout after that.
func (c *Client) watchAt(ctx context.Context, base string, cl call, fromVersion int64, body []byte, f func(KV)) error {
	callCount.Add(opWatch, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(c.timeout, cancel)
	defer opening.Stop()
	res, _, err := c.post(ctx, base+wire.WatchPath, body)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	era, err := c.era.Observe(res.Header.Get(wire.EraHeader))
	switch {
	case err != nil:
		return err
	case res.StatusCode != http.StatusOK:
		_, err := refusal(cl, res)
		return err
	case !inEra(fromVersion, era):
		return &CompactedError{Key: cl.key}
	}
	return readWatch(res.Body, cl.key, era, func() { opening.Stop() }, f)
}

// readWatch reads the lines of a watch in an era until one fails or ends it.
func readWatch(r io.Reader, key string, era int64, created func(), f func(KV)) error {
	bounded := &boundedReader{r: r, key: key}
	dec := json.NewDecoder(bounded)
	for {
		bounded.n = maxResponse // the limit applies to each line
		var line wire.WatchLine
		if err := dec.Decode(&line); err != nil {
			return err
		}
		if line.Result.Created {
			created()
		}
		for _, ev := range line.Result.Events {
			it, err := fromWire(ev.KV, era)
			if err != nil {
				return err
			}
			it.Deleted = ev.Type == wire.TypeDelete
			f(it)
		}
		if err := watchEnd(line, key); err != nil {
			return err
		}
	}
}

// watchEnd returns the error of a line that ends the watch.
func watchEnd(line wire.WatchLine, key string) error {
	switch {
	case line.Result.CompactRevision > 0:
		return &CompactedError{Key: key, Version: int64(line.Result.CompactRevision)}
	case line.Result.Canceled || line.Error != nil:
		return errWatchEnded
	default:
		return nil
	}
}
