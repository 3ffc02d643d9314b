package store

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/configuration/store/wire"
)

// noteEra returns the era that an answer states, and remembers the highest.
func (c *Client) noteEra(res *http.Response) (int64, error) {
	header := res.Header.Get(wire.EraHeader)
	if header == "" {
		return 0, nil
	}
	era, err := strconv.ParseInt(header, 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read era")
	}
	for known := c.era.Load(); era > known && !c.era.CompareAndSwap(known, era); {
		known = c.era.Load()
	}
	return era, nil
}

// outdated reports whether a version or a lease is of an earlier era than the service's. 0 is in all
// eras the version of an absent key.
func (c *Client) outdated(version int64) bool {
	return version > 0 && kv.Era(version) < c.era.Load()
}

// inEra reports whether a version or a lease is of an era.
func inEra(version, era int64) bool { return version == 0 || kv.Era(version) == era }

// counter returns a version or a lease as the service numbers it.
func counter(version int64) wire.Int64 { return wire.Int64(kv.Counter(version)) }

// fromWire returns an item of an answer of an era.
func fromWire(w wire.KeyValue, era int64) (KV, error) {
	version, err := kv.NewRevision(era, int64(w.ModRevision))
	return KV{Key: string(w.Key), Value: w.Value, Version: version, Era: era}, err
}
