package client

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"verbenashift/core/request/outcome"
	"verbenashift/standin/judge"
)

// ClassTimes holds the latencies of the complete requests of one class.
type ClassTimes struct {
	Class    string `json:"class"`
	Requests int    `json:"requests"`
	// Attempts exceeds Requests if entries refused requests or failed.
	Attempts   int     `json:"attempts"`
	FirstP50MS float64 `json:"first-p50-ms"`
	FirstP95MS float64 `json:"first-p95-ms"`
	TotalP50MS float64 `json:"total-p50-ms"`
	TotalP95MS float64 `json:"total-p95-ms"`
	TotalP99MS float64 `json:"total-p99-ms"`
}

const (
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	microsPerMilli    = 1000
)

type classHistogram struct {
	times        ClassTimes
	first, total *hdrhistogram.Histogram
}

// Times returns the latencies of the records by class, in order of class.
func Times(records []judge.Record) []ClassTimes {
	classes := make(map[string]*classHistogram)
	var names []string
	for i := range records {
		r := &records[i]
		h := classes[r.Class]
		if h == nil {
			h = &classHistogram{
				first: hdrhistogram.New(1, maxMicros, significantDigits),
				total: hdrhistogram.New(1, maxMicros, significantDigits),
			}
			h.times.Class = r.Class
			classes[r.Class] = h
			names = append(names, r.Class)
		}
		h.add(r)
	}
	slices.Sort(names)
	out := make([]ClassTimes, len(names))
	for i, name := range names {
		out[i] = classes[name].sum()
	}
	return out
}

func (h *classHistogram) add(r *judge.Record) {
	h.times.Requests++
	h.times.Attempts += len(r.Attempts)
	if r.Outcome != outcome.Complete {
		return
	}
	_ = h.first.RecordValue(r.First.Microseconds())
	_ = h.total.RecordValue(r.Total.Microseconds())
}

func (h *classHistogram) sum() ClassTimes {
	ms := func(x *hdrhistogram.Histogram, q float64) float64 {
		return float64(x.ValueAtQuantile(q)) / microsPerMilli
	}
	t := h.times
	t.FirstP50MS, t.FirstP95MS = ms(h.first, 50), ms(h.first, 95)
	t.TotalP50MS, t.TotalP95MS, t.TotalP99MS = ms(h.total, 50), ms(h.total, 95), ms(h.total, 99)
	return t
}

// writeRecord writes the records as JSON lines. They contain no prompts, answers
// or tokens.
func writeRecord(name string, records []judge.Record) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create record")
	}
	w := bufio.NewWriter(f)
	out := json.NewEncoder(w)
	for i := range records {
		_ = out.Encode(&records[i])
	}
	if err := errors.Join(w.Flush(), f.Close()); err != nil {
		return errors.Wrap(err, "write record")
	}
	return nil
}
