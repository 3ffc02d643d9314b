package quota

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// MaxRecords bounds the records of one report or reply; the rest waits for the next one.
	MaxRecords = 64
	// earlyReportShare is the used part of the headroom at which an entry reports early.
	earlyReportShare = 0.5
	// minFallTime is the shortest time over which a fall of the demand is detected.
	minFallTime = 2 * time.Second
	// negligibleShare is the part of the limit up to which a demand that has ended is left to
	// expire at the home.
	negligibleShare = 0.02
	// fractionUnit is the fixed-point scale of an encoded fraction.
	fractionUnit = 1 << 12
	// maxTokens and maxSpan bound the values of one record, against a corrupt peer.
	maxTokens = 1 << 40
	maxSpan   = 2 * time.Minute
)

// MalformedError reports a report or a reply that could not be decoded.
type MalformedError struct {
	// Offset is where decoding stopped, in bytes.
	Offset int
}

// Error returns where decoding stopped.
func (e *MalformedError) Error() string {
	return errors.Errorf("malformed quota digest at byte %d", e.Offset).Error()
}

// record is one workspace in a report.
type record struct {
	id       uint64
	offered  int64
	admitted int64
	// fraction is the last one that the entry received.
	fraction uint64
	// span is the time over which the demand came, in whole milliseconds.
	span time.Duration
}

// reply is one workspace in a home's reply.
type reply struct {
	id       uint64
	fraction uint64
	// interval is when to report again, if the demand stays as it is.
	interval time.Duration
}

// Due returns the homes to which a report is due. The slice is valid until the next call.
func (l *Limiter) Due(now time.Time) []string {
	l.due = l.due[:0]
	l.active = slices.DeleteFunc(l.active, func(s *state) bool {
		s.active = !s.nothingToReport() || !s.sentAt.IsZero()
		return !s.active
	})
	for _, s := range l.active {
		if l.reportDue(s, now) && !slices.Contains(l.due, s.home) {
			l.due = append(l.due, s.home)
		}
	}
	slices.Sort(l.due)
	return l.due
}

// reportDue reports whether the workspace's report is due: after the time that the home has
// asked for, or as soon as most of the headroom is used.
func (l *Limiter) reportDue(s *state, now time.Time) bool {
	if s.nothingToReport() || s.home == "" || !s.sentAt.IsZero() {
		return false
	}
	spacing := MinReportInterval
	if !s.pendingSince.IsZero() {
		spacing = ReportInterval // the last report was lost: retry more slowly
	}
	if now.Sub(s.reportedAt) < spacing {
		return false
	}
	answeredUntil := s.answeredUntil
	if answeredUntil.IsZero() {
		answeredUntil = s.demandSince
	}
	return now.Sub(answeredUntil) >= s.interval || s.admitted > 0 && s.headroomLeft <= (1-earlyReportShare)*l.headroom(s) || s.demandFell(now)
}

// demandFell reports whether the demand is far below the last reported one, while a part of it
// is refused. It guards against a limit that stays half used for the time of a long interval
// after a burst has ended.
func (s *state) demandFell(now time.Time) bool {
	span := now.Sub(s.answeredUntil)
	return s.fraction < 1 && span >= minFallTime && float64(s.offered) < s.reportedDemand*span.Seconds()/2
}

// nothingToReport reports whether there is no demand and the last reported one was small. A
// large one must be withdrawn as soon as it ends, or the home counts it twice when it has moved
// to another entry.
func (s *state) nothingToReport() bool {
	return s.offered == 0 && s.reportedDemand <= negligibleShare*s.Rate
}

// AppendReport appends the report for a home to dst: the workspaces whose report is due, and
// those of the same home that have anything new. The caller passes the reply to Merge, or calls
// ReportFailed, before it requests the home's next report.
func (l *Limiter) AppendReport(dst []byte, home string, now time.Time) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, l.id)
	n := 0
	for _, s := range l.active {
		if n == MaxRecords || s.home != home || s.nothingToReport() || !s.sentAt.IsZero() {
			continue
		}
		s.markSent(now)
		dst = appendRecord(dst, record{s.id, s.sentOffered, s.sentAdmitted, toUnits(s.fraction), s.sentSpan})
		n++
	}
	return dst
}

func (s *state) markSent(now time.Time) {
	s.sentSpan = now.Sub(s.answeredUntil)
	if s.answeredUntil.IsZero() {
		s.sentSpan = max(ReportInterval, now.Sub(s.demandSince))
	}
	s.sentSpan = min(max(MinReportInterval, s.sentSpan), maxSpan)
	s.sentOffered, s.sentAdmitted = s.offered, s.admitted
	s.offered, s.admitted = 0, 0
	s.sentAt, s.reportedAt, s.sentSince = now, now, s.demandSince
	if s.pendingSince.IsZero() {
		s.pendingSince = now
	}
}

// applyReply records the home's reply. What may be admitted until the next one follows the rate
// of the last interval, and at most doubles.
func (l *Limiter) applyReply(s *state, r reply, now time.Time) {
	s.recentRate = math.Min(float64(s.sentAdmitted)/s.sentSpan.Seconds(), l.headroom(s))
	s.fraction, s.receivedAt = fromUnits(r.fraction), now
	// The jitter prevents the entries from reporting all at once for ever.
	s.interval = time.Duration((0.75 + 0.25*l.rnd.Float64()) * float64(r.interval))
	s.headroomLeft = l.headroom(s)
	s.answeredUntil, s.reportedDemand = s.sentAt, float64(s.sentOffered)/s.sentSpan.Seconds()
	s.sentOffered, s.sentAdmitted, s.sentAt, s.pendingSince = 0, 0, time.Time{}, time.Time{}
}

// restoreSent adds what was sent without a reply back to what is to be reported.
func (s *state) restoreSent() {
	if s.sentAt.IsZero() {
		return
	}
	s.demandSince = s.sentSince
	s.offered += s.sentOffered
	s.admitted += s.sentAdmitted
	s.sentOffered, s.sentAdmitted, s.sentAt = 0, 0, time.Time{}
}

// ReportFailed records that a report got no reply. It is sent again; if the home did receive
// it, the workspace is charged twice, which errs on the strict side.
func (l *Limiter) ReportFailed(home string) {
	for _, s := range l.active {
		if s.home == home {
			s.restoreSent()
		}
	}
}

// Merge applies b, the reply of a home. A workspace that the reply leaves out, since the home
// does not know it yet, counts as not replied. So does everything from the fault on in a
// malformed reply.
func (l *Limiter) Merge(home string, b []byte, now time.Time) error {
	defer l.ReportFailed(home)
	for at := 0; at < len(b); {
		r, n := readReply(b[at:])
		if n <= 0 {
			return &MalformedError{Offset: at}
		}
		at += n
		if s, ok := l.byID[r.id]; ok && s.home == home && !s.sentAt.IsZero() {
			l.applyReply(s, r, now)
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
	dst = binary.AppendUvarint(dst, r.fraction)
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
	fraction, n := binary.Uvarint(b[at:])
	if n <= 0 || fraction > fractionUnit {
		return record{}, 0
	}
	at += n
	span, n := binary.Uvarint(b[at:])
	if n <= 0 || span > uint64(maxSpan.Milliseconds()) {
		return record{}, 0
	}
	r.offered, r.admitted, r.fraction = int64(offered), admitted, fraction
	r.span = time.Duration(span) * time.Millisecond
	return r, at + n
}

// readEntry returns the entry that sent a report, and the offset of the first record; 0 means
// malformed.
func readEntry(b []byte) (entry uint64, length int) {
	if len(b) < 8 {
		return 0, 0
	}
	return binary.LittleEndian.Uint64(b), 8
}

func appendReply(dst []byte, r reply) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, r.id)
	dst = binary.AppendUvarint(dst, r.fraction)
	return binary.AppendUvarint(dst, uint64(r.interval/MinReportInterval))
}

// readReply returns the first record of a reply and its length, or 0 if
// malformed.
func readReply(b []byte) (reply, int) {
	if len(b) < 8 {
		return reply{}, 0
	}
	r, at := reply{id: binary.LittleEndian.Uint64(b)}, 8
	var n int
	if r.fraction, n = binary.Uvarint(b[at:]); n <= 0 || r.fraction > fractionUnit {
		return reply{}, 0
	}
	at += n
	units, n := binary.Uvarint(b[at:])
	if n <= 0 || units > uint64(maxSpan/MinReportInterval) {
		return reply{}, 0
	}
	r.interval = max(ReportInterval, time.Duration(units)*MinReportInterval)
	return r, at + n
}
