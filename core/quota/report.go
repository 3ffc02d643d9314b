package quota

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// MaxRecords bounds the records of one digest or reply; the rest waits
	// for the next one.
	MaxRecords = 64
	// fractionUnit is how a fraction is written.
	fractionUnit = 1 << 12
	// maxTokens and maxSpan bound what one record may say, against a corrupt
	// peer.
	maxTokens = 1 << 40
	maxSpan   = time.Minute
)

// MalformedError says that a digest or a reply could not be decoded.
type MalformedError struct {
	// Offset is where decoding stopped, in bytes.
	Offset int
}

// Error returns where the decoding stopped.
func (e *MalformedError) Error() string {
	return errors.Errorf("malformed quota digest at byte %d", e.Offset).Error()
}

// record is one workspace in a digest.
type record struct {
	id       uint64
	offered  int64
	admitted int64
	// span is the time over which the demand came, in whole milliseconds.
	span time.Duration
}

// Due returns the homes that are owed a report. The slice is valid until the
// next call.
func (l *Limiter) Due(now time.Time) []string {
	l.due = l.due[:0]
	for _, s := range l.states {
		if l.owes(s, now) && !slices.Contains(l.due, s.home) {
			l.due = append(l.due, s.home)
		}
	}
	slices.Sort(l.due)
	return l.due
}

// owes reports whether the workspace's report is due: after a second, or as
// soon as half of what may be admitted without word is used.
func (l *Limiter) owes(s *state, now time.Time) bool {
	if s.offered == 0 || s.home == "" || !s.sentAt.IsZero() {
		return false
	}
	spacing := ReportSpacing
	if !s.asked.IsZero() {
		spacing = ReportEvery // the last report was lost: do not insist
	}
	if now.Sub(s.reported) < spacing {
		return false
	}
	return now.Sub(s.since) >= ReportEvery || float64(s.admitted) >= l.lent(s)/2
}

// Digest appends the report for a home to dst: the workspaces that owe one,
// and those of the same home that have anything new. The caller passes the
// answer to Merge, or calls Lost, before it asks for the home's next digest.
func (l *Limiter) Digest(dst []byte, home string, now time.Time) []byte {
	n := 0
	for _, s := range l.states {
		if n == MaxRecords || s.home != home || s.offered == 0 || !s.sentAt.IsZero() {
			continue
		}
		dst = appendRecord(dst, record{s.id, s.offered, s.admitted, min(now.Sub(s.since), maxSpan)})
		s.send(now)
		n++
	}
	return dst
}

func (s *state) send(now time.Time) {
	s.sentOffered, s.sentAdmitted = s.offered, s.admitted
	s.offered, s.admitted = 0, 0
	s.sentSpan = max(ReportSpacing, min(now.Sub(s.reported), ReportEvery))
	s.sentAt, s.reported, s.sentSince = now, now, s.since
	if s.asked.IsZero() {
		s.asked = now
	}
}

// hear takes the home's word. What may be admitted until the next one follows
// the rate of the last interval, and at most doubles.
func (l *Limiter) hear(s *state, fraction float64, now time.Time) {
	usual := float64(s.sentAdmitted) * ReportEvery.Seconds() / s.sentSpan.Seconds()
	s.recent = math.Min(usual, l.lent(s))
	s.fraction, s.heard = fraction, now
	s.sentOffered, s.sentAdmitted, s.sentAt, s.asked = 0, 0, time.Time{}, time.Time{}
}

// giveBack puts what was sent without a reply back among what is to report.
func (s *state) giveBack() {
	if s.sentAt.IsZero() {
		return
	}
	s.since = s.sentSince
	s.offered += s.sentOffered
	s.admitted += s.sentAdmitted
	s.sentOffered, s.sentAdmitted, s.sentAt = 0, 0, time.Time{}
}

// Lost tells that a report got no answer. It is sent again; if the home did
// get it, the workspace is charged twice, which errs on the strict side.
func (l *Limiter) Lost(home string) {
	for _, s := range l.states {
		if s.home == home {
			s.giveBack()
		}
	}
}

// Merge takes in the reply of a home. What the reply leaves out, since the
// home does not know the workspace yet, counts as lost. A malformed reply
// counts as lost from the fault on.
func (l *Limiter) Merge(home string, reply []byte, now time.Time) error {
	defer l.Lost(home)
	for at := 0; at < len(reply); {
		id, units, n := readReply(reply[at:])
		if n <= 0 {
			return &MalformedError{Offset: at}
		}
		at += n
		if s, ok := l.byID[id]; ok && s.home == home && !s.sentAt.IsZero() {
			l.hear(s, fromUnits(units), now)
		}
	}
	return nil
}

func toUnits(fraction float64) uint64 { return uint64(fraction*fractionUnit + 0.5) }

func fromUnits(units uint64) float64 { return min(1, float64(units)/fractionUnit) }

func appendRecord(dst []byte, r record) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, r.id)
	dst = binary.AppendUvarint(dst, uint64(r.offered))
	dst = binary.AppendVarint(dst, r.admitted)
	return binary.AppendUvarint(dst, uint64(max(0, r.span.Milliseconds())))
}

// readRecord returns the first record of b and its length, or 0 if malformed.
func readRecord(b []byte) (record, int) {
	if len(b) < 8 {
		return record{}, 0
	}
	r := record{id: binary.LittleEndian.Uint64(b)}
	at := 8
	offered, n := binary.Uvarint(b[at:])
	if n <= 0 || offered > maxTokens {
		return record{}, 0
	}
	at += n
	admitted, n := binary.Varint(b[at:])
	if n <= 0 || admitted > maxTokens || admitted < -maxTokens {
		return record{}, 0
	}
	at += n
	span, n := binary.Uvarint(b[at:])
	if n <= 0 || span > uint64(maxSpan.Milliseconds()) {
		return record{}, 0
	}
	r.offered, r.admitted = int64(offered), admitted
	r.span = time.Duration(span) * time.Millisecond
	return r, at + n
}

func appendReply(dst []byte, id, units uint64) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, id)
	return binary.AppendUvarint(dst, units)
}

func readReply(b []byte) (id, units uint64, length int) {
	if len(b) < 8 {
		return 0, 0, 0
	}
	units, n := binary.Uvarint(b[8:])
	if n <= 0 || units > fractionUnit {
		return 0, 0, 0
	}
	return binary.LittleEndian.Uint64(b), units, 8 + n
}
