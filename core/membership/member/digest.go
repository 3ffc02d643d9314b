package member

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

const (
	// MaxDigest bounds an encoded digest without the quota part, in bytes.
	MaxDigest = 192
	// idleDigest bounds it when there are no updates.
	idleDigest = 96
	// MaxQuota bounds the quota part.
	MaxQuota = 2048

	version    = 1
	maxRecords = 32
	idBytes    = 6
	// trailer is the byte that ends the records.
	trailer = 1

	flagRecord   = 1 << 0
	flagSuspect  = 1 << 1
	flagDraining = 1 << 2
	flagEntry    = 1 << 3
	flagKnown    = flagRecord | flagSuspect | flagDraining | flagEntry

	// ageUnit and maxAge are how an age is written in one byte.
	ageUnit = 250 * time.Millisecond
	maxAge  = 255 * ageUnit
	// waitSteps is the number of steps for each doubling of the wait.
	waitSteps = 8
)

// Record is a statement about one agent, or about the sender if it is the
// first record of a digest.
type Record struct {
	ID          uint64
	Incarnation uint64
	Sequence    uint64
	State       State
	Draining    bool
	// Entry reports that the sender is an entry, which has no record elsewhere.
	Entry bool
	// Wait is encoded in steps of a twelfth, Age in steps of 250 ms up to a
	// minute.
	Wait time.Duration
	Age  time.Duration
}

// newer reports whether the record overrides what is known of the member.
func (r Record) newer(m *Member) bool {
	if r.Incarnation != m.Incarnation {
		return r.Incarnation > m.Incarnation
	}
	if r.Sequence != m.Sequence {
		return r.Sequence > m.Sequence
	}
	return r.State == Suspect && m.State == Alive
}

// Digest is a decoded digest. It has at least one record, the sender's.
type Digest struct {
	Revision uint64
	Records  []Record
	// Quota aliases the input of Decode.
	Quota []byte
}

// MalformedError says that a digest could not be decoded.
type MalformedError struct {
	// Offset is where decoding stopped, in bytes.
	Offset int
}

// Error returns where the decoding stopped.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed member digest at byte %d", e.Offset)
}

func appendHeader(dst []byte, revision uint64) []byte {
	return binary.AppendUvarint(append(dst, version), revision)
}

func appendRecord(dst []byte, r Record) []byte {
	dst = append(dst, r.flags())
	var id [8]byte
	binary.LittleEndian.PutUint64(id[:], r.ID)
	dst = append(dst, id[:idBytes]...)
	dst = binary.AppendUvarint(dst, r.Incarnation)
	dst = binary.AppendUvarint(dst, r.Sequence)
	return append(dst, waitByte(r.Wait), ageByte(r.Age))
}

func (r Record) flags() byte {
	flags := byte(flagRecord)
	if r.State != Alive {
		flags |= flagSuspect
	}
	if r.Draining {
		flags |= flagDraining
	}
	if r.Entry {
		flags |= flagEntry
	}
	return flags
}

func (r Record) length() int {
	return 1 + idBytes + uvarintLen(r.Incarnation) + uvarintLen(r.Sequence) + 2
}

func uvarintLen(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

// appendQuota ends the records and appends the quota part.
func appendQuota(dst, quota []byte) []byte {
	return append(append(dst, 0), quota...)
}

// Decode decodes a digest. It fails with a *MalformedError.
func Decode(b []byte) (Digest, error) {
	if len(b) == 0 || b[0] != version || len(b) > MaxDigest+MaxQuota {
		return Digest{}, &MalformedError{}
	}
	revision, n := binary.Uvarint(b[1:])
	if n <= 0 {
		return Digest{}, &MalformedError{Offset: 1}
	}
	d, at := Digest{Revision: revision}, 1+n
	for at < len(b) && b[at] != 0 {
		r, n := readRecord(b[at:])
		if n == 0 || len(d.Records) == maxRecords {
			return Digest{}, &MalformedError{Offset: at}
		}
		d.Records = append(d.Records, r)
		at += n
	}
	if at >= len(b) || len(d.Records) == 0 {
		return Digest{}, &MalformedError{Offset: at}
	}
	d.Quota = b[at+1:]
	return d, nil
}

// readRecord returns the first record of b and its length, or 0 if malformed.
func readRecord(b []byte) (Record, int) {
	if len(b) < 1+idBytes || b[0]&^flagKnown != 0 || b[0]&flagRecord == 0 {
		return Record{}, 0
	}
	var id [8]byte
	copy(id[:], b[1:1+idBytes])
	r := Record{
		ID: binary.LittleEndian.Uint64(id[:]), Draining: b[0]&flagDraining != 0, Entry: b[0]&flagEntry != 0,
	}
	if b[0]&flagSuspect != 0 {
		r.State = Suspect
	}
	at := 1 + idBytes
	var n int
	if r.Incarnation, n = binary.Uvarint(b[at:]); n <= 0 {
		return Record{}, 0
	}
	at += n
	if r.Sequence, n = binary.Uvarint(b[at:]); n <= 0 {
		return Record{}, 0
	}
	at += n
	if len(b) < at+2 {
		return Record{}, 0
	}
	r.Wait, r.Age = waitOf(b[at]), time.Duration(b[at+1])*ageUnit
	return r, at + 2
}

// ageByte rounds up, so that an age never shrinks when it is relayed.
func ageByte(age time.Duration) byte {
	return byte((min(max(age, 0), maxAge) + ageUnit - 1) / ageUnit)
}

// waitByte encodes a wait on a logarithmic scale from one millisecond.
func waitByte(wait time.Duration) byte {
	ms := float64(wait) / float64(time.Millisecond)
	if ms < 1 {
		return 0
	}
	return byte(math.Min(math.MaxUint8, 1+math.Round(waitSteps*math.Log2(ms))))
}

func waitOf(b byte) time.Duration {
	if b == 0 {
		return 0
	}
	return time.Duration(math.Exp2(float64(b-1)/waitSteps) * float64(time.Millisecond))
}
