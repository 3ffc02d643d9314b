// Package histogram publishes histograms of integers as expvar variables.
//
// # Usage
//
//	wait := histogram.New("entry-first-token-us")
//	wait.Record(1250)
package histogram

import (
	"encoding/json"
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The largest value of a histogram, in its unit, and its significant digits. A value
// above the largest is recorded as the largest.
const (
	histogramMax    = 600_000_000
	histogramDigits = 2
)

// Histogram is a histogram of integers, such as microseconds.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// New publishes a histogram as the expvar variable name. It panics if
// the name is in use, as expvar.Publish does.
func New(name string) *Histogram {
	h := &Histogram{h: hdrhistogram.New(1, histogramMax, histogramDigits)}
	expvar.Publish(name, h)
	return h
}

// Record adds one value.
func (h *Histogram) Record(v int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(v, 1), histogramMax))
}

// summary is the JSON form of a histogram.
type summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P95   int64   `json:"p95"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
}

// String returns the summary as JSON. It implements expvar.Var.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := summary{
		Count: h.h.TotalCount(), Mean: h.h.Mean(), P50: h.h.ValueAtQuantile(50),
		P95: h.h.ValueAtQuantile(95), P99: h.h.ValueAtQuantile(99), Max: h.h.Max(),
	}
	b, _ := json.Marshal(s)
	return string(b)
}
