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
	// earlyPart is the part of the slack at which an entry reports early.
	earlyPart = 0.5
	// fellAfter is the shortest time over which a demand is seen to fall.
	fellAfter = 2 * time.Second
	// toldPart is the part of the limit up to which a demand that has ended is
	// left to expire at the home.
	toldPart = 0.02
	// fractionUnit is how a fraction is written.
	fractionUnit = 1 << 12
	// maxTokens and maxSpan bound what one record may say, against a corrupt
	// peer.
	maxTokens = 1 << 40
	maxSpan   = 2 * time.Minute
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
	// fraction is what the entry last heard.
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

// Due returns the homes that are owed a report. The slice is valid until the
// next call.
func (l *Limiter) Due(now time.Time) []string {
	l.due = l.due[:0]
	l.active = slices.DeleteFunc(l.active, func(s *state) bool {
		s.active = !s.silent() || !s.sentAt.IsZero()
		return !s.active
	})
	for _, s := range l.active {
		if l.owes(s, now) && !slices.Contains(l.due, s.home) {
			l.due = append(l.due, s.home)
		}
	}
	slices.Sort(l.due)
	return l.due
}

// owes reports whether the workspace's report is due: after the time that the
// home has asked for, or as soon as most of what may be admitted beyond the
// usual rate is used.
func (l *Limiter) owes(s *state, now time.Time) bool {
	if s.silent() || s.home == "" || !s.sentAt.IsZero() {
		return false
	}
	spacing := MinReportInterval
	if !s.asked.IsZero() {
		spacing = ReportInterval // the last report was lost: do not insist
	}
	if now.Sub(s.reported) < spacing {
		return false
	}
	from := s.from
	if from.IsZero() {
		from = s.since
	}
	return now.Sub(from) >= s.interval || s.admitted > 0 && s.room <= (1-earlyPart)*l.slack(s) || s.fell(now)
}

// fell reports whether the demand is far below what was last told, while a
// part of it is refused. It guards against a limit that stays half used for
// the time of a long interval after a burst has ended.
func (s *state) fell(now time.Time) bool {
	span := now.Sub(s.from)
	return s.fraction < 1 && span >= fellAfter && float64(s.offered) < s.told*span.Seconds()/2
}

// silent reports whether there is nothing to tell: no demand, and the last told
// was small. A large one must be taken back as soon as it ends, or the home
// counts it twice when it has moved to another entry.
func (s *state) silent() bool {
	return s.offered == 0 && s.told <= toldPart*s.Rate
}

// AppendReport appends the report for a home to dst: the workspaces that owe one,
// and those of the same home that have anything new. The caller passes the
// answer to Merge, or calls Lost, before it asks for the home's next digest.
func (l *Limiter) AppendReport(dst []byte, home string, now time.Time) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, l.id)
	n := 0
	for _, s := range l.active {
		if n == MaxRecords || s.home != home || s.silent() || !s.sentAt.IsZero() {
			continue
		}
		s.send(now)
		dst = appendRecord(dst, record{s.id, s.sentOffered, s.sentAdmitted, toUnits(s.fraction), s.sentSpan})
		n++
	}
	return dst
}

func (s *state) send(now time.Time) {
	s.sentSpan = now.Sub(s.from)
	if s.from.IsZero() {
		s.sentSpan = max(ReportInterval, now.Sub(s.since))
	}
	s.sentSpan = min(max(MinReportInterval, s.sentSpan), maxSpan)
	s.sentOffered, s.sentAdmitted = s.offered, s.admitted
	s.offered, s.admitted = 0, 0
	s.sentAt, s.reported, s.sentSince = now, now, s.since
	if s.asked.IsZero() {
		s.asked = now
	}
}

// hear takes the home's word. What may be admitted until the next one follows
// the rate of the last interval, and at most doubles.
func (l *Limiter) hear(s *state, r reply, now time.Time) {
	s.recent = math.Min(float64(s.sentAdmitted)/s.sentSpan.Seconds(), l.slack(s))
	s.fraction, s.heard = fromUnits(r.fraction), now
	// The spread keeps the entries from reporting all at once for ever.
	s.interval = time.Duration((0.75 + 0.25*l.rnd.Float64()) * float64(r.interval))
	s.room = l.slack(s)
	s.from, s.told = s.sentAt, float64(s.sentOffered)/s.sentSpan.Seconds()
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

// ReportFailed tells that a report got no answer. It is sent again; if the home did
// get it, the workspace is charged twice, which errs on the strict side.
func (l *Limiter) ReportFailed(home string) {
	for _, s := range l.active {
		if s.home == home {
			s.giveBack()
		}
	}
}

// Merge takes in b, the reply of a home. What the reply leaves out, since the
// home does not know the workspace yet, counts as lost. A malformed reply
// counts as lost from the fault on.
func (l *Limiter) Merge(home string, b []byte, now time.Time) error {
	defer l.ReportFailed(home)
	for at := 0; at < len(b); {
		r, n := readReply(b[at:])
		if n <= 0 {
			return &MalformedError{Offset: at}
		}
		at += n
		if s, ok := l.byID[r.id]; ok && s.home == home && !s.sentAt.IsZero() {
			l.hear(s, r, now)
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

// readEntry returns the entry that sent a report, and where the records begin;
// 0 means malformed.
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
