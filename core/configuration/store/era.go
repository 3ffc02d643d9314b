package store

import (
	"verbenashift/core/configuration/kv"
	"verbenashift/core/configuration/store/wire"
)

// inEra reports whether a version or a lease is of an era.
func inEra(version, era int64) bool { return version == 0 || kv.Era(version) == era }

// counter returns a version or a lease as the service numbers it.
func counter(version int64) wire.Int64 { return wire.Int64(kv.Counter(version)) }

// fromWire returns an item of an answer of an era.
func fromWire(w wire.KeyValue, era int64) (KV, error) {
	version, err := kv.NewRevision(era, int64(w.ModRevision))
	return KV{Key: string(w.Key), Value: w.Value, Version: version, Era: era}, err
}
