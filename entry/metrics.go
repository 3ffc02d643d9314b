package main

import (
	"expvar"
	"sync"

	"verbenashift/core/plumbing/histogram"
)

// metrics holds the entry's counters, published through expvar.
type metrics struct {
	outcomes     *expvar.Map
	refused      *expvar.Int
	frames       *expvar.Int
	releasesLost *expvar.Int
	total        *histogram.Histogram
}

// processMetrics returns the metrics of this process. There is one set, since
// expvar allows each name to be published only once.
var processMetrics = sync.OnceValue(func() *metrics {
	return &metrics{
		outcomes:     expvar.NewMap("entry-outcomes"),
		refused:      expvar.NewInt("entry-refused"),
		frames:       expvar.NewInt("entry-frames"),
		releasesLost: expvar.NewInt("entry-releases-lost"),
		total:        histogram.New("entry-request-us"),
	}
})

func (m *metrics) count(name string) {
	m.outcomes.Add(name, 1)
}
