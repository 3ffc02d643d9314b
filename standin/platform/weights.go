package platform

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

const (
	// DefaultWeightSize is the size of one expert's weights, in bytes.
	DefaultWeightSize = 1 << 20
	// minBurst is the lower bound of the rate limiter's burst, in bytes.
	minBurst = 16 << 10
	wordSize = 8
)

// weightStore serves generated weights at a limited rate over all readers.
type weightStore struct {
	size    int64
	limiter *rate.Limiter // nil for no limit
	served  atomic.Int64
}

func newWeightStore(bytesPerSecond int, size int64) *weightStore {
	s := &weightStore{size: size}
	if size <= 0 {
		s.size = DefaultWeightSize
	}
	if bytesPerSecond > 0 {
		burst := max(bytesPerSecond/100, minBurst)
		s.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
	return s
}

// serve answers with one expert's weights, or with the part that a Range
// header (RFC 9110, section 14) asks for.
func (s *weightStore) serve(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	seed := WeightSeed(vars["model"], vars["layer"], vars["expert"])
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprintf("%016x-%d", seed, s.size)))
	content := &weightReader{ctx: r.Context(), store: s, seed: seed}
	http.ServeContent(w, r, "", time.Time{}, content)
}

// WeightSeed returns the seed from which FillWeights generates one expert's
// weights.
func WeightSeed(model, layer, expert string) uint64 {
	return xxhash.Sum64String(model + "\x00" + layer + "\x00" + expert)
}

// FillWeights fills p with the bytes at offset of the weights with that seed. A
// reader can use it to check the weights that it received.
func FillWeights(seed uint64, offset int64, p []byte) {
	var word [wordSize]byte
	for n := 0; n < len(p); {
		at := offset + int64(n)
		binary.LittleEndian.PutUint64(word[:], mix(seed+uint64(at/wordSize)))
		n += copy(p[n:], word[at%wordSize:])
	}
}

// mix is the SplitMix64 finalizer (Steele, Lea and Flood, OOPSLA 2014).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// weightReader reads one expert's weights at the store's rate.
type weightReader struct {
	ctx    context.Context
	store  *weightStore
	seed   uint64
	offset int64
}

var errBadSeek = errors.New("seek before the start")

// Seek implements io.Seeker.
func (r *weightReader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += r.offset
	case io.SeekEnd:
		offset += r.store.size
	}
	if offset < 0 {
		return 0, errBadSeek
	}
	r.offset = offset
	return offset, nil
}

// Read implements io.Reader and waits until the store's rate allows the bytes.
func (r *weightReader) Read(p []byte) (int, error) {
	left := r.store.size - r.offset
	if left <= 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), left)]
	if l := r.store.limiter; l != nil {
		p = p[:min(len(p), l.Burst())]
		if err := l.WaitN(r.ctx, len(p)); err != nil {
			return 0, err
		}
	}
	FillWeights(r.seed, r.offset, p)
	r.offset += int64(len(p))
	r.store.served.Add(int64(len(p)))
	return len(p), nil
}
