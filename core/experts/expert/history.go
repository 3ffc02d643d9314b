package expert

import "time"

// Record is the outcome of one round of planning, for operators.
type Record struct {
	At time.Time `json:"at"`
	// Skew is the expected skew without the moves, Bound the lower bound.
	Skew   float64 `json:"skew"`
	Bound  float64 `json:"bound"`
	Moves  int     `json:"moves"`
	Bytes  int64   `json:"bytes"`
	Reason Reason  `json:"reason"`
	// Text is the result of Plan.Explain.
	Text string `json:"text"`
}

// RecordOf returns the record of a plan.
func RecordOf(now time.Time, p Plan) Record {
	return Record{
		At: now, Skew: p.SkewBefore, Bound: p.Bound, Moves: len(p.Moves), Bytes: p.Bytes,
		Reason: p.Reason, Text: p.Explain(),
	}
}

// The default values of the fields of a History.
const (
	DefaultWindow  = time.Hour
	DefaultRecords = 720
)

// History keeps the records of a time window, by default the last hour, oldest
// first. The zero value is ready to use.
type History struct {
	// Window is the maximum age of a record; 0 means DefaultWindow.
	Window time.Duration
	// MaxRecords is the maximum number of records; 0 means DefaultRecords.
	MaxRecords int
	records    []Record
}

// Summary holds statistics of a History.
type Summary struct {
	// MeanSkew and MaxSkew are taken over all records.
	MeanSkew float64 `json:"mean-skew"`
	MaxSkew  float64 `json:"max-skew"`
	Moves    int     `json:"moves"`
	Bytes    int64   `json:"bytes"`
	// Reasons counts the records of each reason.
	Reasons map[Reason]int `json:"reasons"`
}

// Add appends a record and removes the oldest ones that exceed the window or
// the maximum number.
func (h *History) Add(r Record) {
	h.records = append(h.records, r)
	window, maxRecords := h.Window, h.MaxRecords
	if window <= 0 {
		window = DefaultWindow
	}
	if maxRecords <= 0 {
		maxRecords = DefaultRecords
	}
	drop := max(len(h.records)-maxRecords, 0)
	for r.At.Sub(h.records[drop].At) > window {
		drop++
	}
	h.records = append(h.records[:0], h.records[drop:]...)
}

// Records returns a copy of the records, oldest first.
func (h *History) Records() []Record { return append([]Record(nil), h.records...) }

// Summary returns statistics of the stored records.
func (h *History) Summary() Summary {
	s := Summary{Reasons: map[Reason]int{}}
	for _, r := range h.records {
		s.MeanSkew += r.Skew / float64(len(h.records))
		s.MaxSkew = max(s.MaxSkew, r.Skew)
		s.Moves += r.Moves
		s.Bytes += r.Bytes
		s.Reasons[r.Reason]++
	}
	return s
}
