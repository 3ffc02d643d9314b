package buffers

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	poolSize = 2 << 20
	poolWait = time.Second
	limit    = 256 << 10
)

// free returns how much room a pool has for beginnings and for the rest of bodies.
func free(p *Pool) [2]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return [2]int64{p.rooms[beginning].size - p.rooms[beginning].used, p.rooms[rest].size - p.rooms[rest].used}
}

// empty is how much room an empty pool has.
var empty = [2]int64{poolSize / 2, poolSize / 2}

// Guards against bodies that lose bytes, and against room that is lost with them.
func TestBodiesOfAllLengths(t *testing.T) {
	for _, n := range []int{0, 1, firstPart - 1, firstPart, firstPart + 1, 3*firstPart + 7, limit - 1, limit} {
		for _, length := range []int64{int64(n), -1} {
			is := is.New(t)
			p := NewPool(poolSize, poolWait)
			want := bytes.Repeat([]byte("abcdefg"), n/7+1)[:n]
			got, err := p.Read(t.Context(), iotest.HalfReader(bytes.NewReader(want)), length, limit)
			is.NoErr(err)
			is.True(bytes.Equal(got.Bytes(), want))
			is.True(int64(cap(got.data)) <= got.held)
			got.Release()
			got.Release()
			is.Equal(free(p), empty)
		}
	}
}

// Guards against memory for bodies that are too long or break off.
func TestBodiesThatAreNotKept(t *testing.T) {
	broken := errors.New("broken")
	for name, tt := range map[string]struct {
		r      io.Reader
		length int64
		want   func(error) bool
	}{
		"announced too long":    {strings.NewReader("x"), limit + 1, isTooLong},
		"too long":              {strings.NewReader(strings.Repeat("x", limit+1)), -1, isTooLong},
		"longer than announced": {strings.NewReader("xx"), 1, isTooLong},
		"breaks off": {
			io.MultiReader(strings.NewReader(strings.Repeat("x", 2*firstPart)), iotest.ErrReader(broken)), -1,
			func(err error) bool { return errors.Is(err, broken) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(poolSize, poolWait)
			_, err := p.Read(t.Context(), tt.r, tt.length, limit)
			is.True(tt.want(err))
			is.Equal(free(p), empty)
		})
	}
}

func isTooLong(err error) bool {
	var e *TooLongError
	return errors.As(err, &e)
}

func isFull(err error) bool {
	var e *FullError
	return errors.As(err, &e)
}

// Guards against memory that grows with the number of bodies.
func TestFullPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewPool(poolSize, poolWait)
		read := func() (*Buffer, error) {
			return p.Read(t.Context(), strings.NewReader(strings.Repeat("x", limit)), limit, limit)
		}
		var held []*Buffer
		for range poolSize / 2 / (limit - firstPart) {
			b, err := read()
			is.NoErr(err)
			held = append(held, b)
		}
		_, err := read()
		is.True(isFull(err))
		short, err := p.Read(t.Context(), strings.NewReader("x"), 1, limit) // there is room for short ones
		is.NoErr(err)
		short.Release()
		go func() {
			time.Sleep(poolWait / 2)
			held[0].Release()
		}()
		b, err := read() // it waits
		is.NoErr(err)
		is.Equal(len(b.Bytes()), limit)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		began := time.Now()
		_, err = p.Read(ctx, strings.NewReader(strings.Repeat("x", limit)), limit, limit)
		is.True(isFull(err))
		is.Equal(time.Since(began), time.Duration(0)) // its caller has left
	})
}

// slowReader takes time for each part.
type slowReader struct{ io.Reader }

func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.Reader.Read(b[:min(len(b), firstPart)])
}

// Guards against bodies that wait for each other for good: each holds what another one needs.
func TestBodiesThatWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewPool(poolSize, poolWait)
		const bodies = 2 * poolSize / limit
		errs := make(chan error, bodies)
		for range bodies {
			go func() {
				b, err := p.Read(t.Context(), slowReader{strings.NewReader(strings.Repeat("x", limit))}, -1, limit)
				errs <- err
				time.Sleep(poolWait / 10)
				b.Release()
			}()
		}
		began, read := time.Now(), 0
		for range bodies {
			if err := <-errs; err == nil {
				read++
			} else {
				is.True(isFull(err))
			}
		}
		is.True(read >= poolSize/limit/2)
		is.True(time.Since(began) <= 2*poolWait)
		synctest.Wait()
		time.Sleep(poolWait)
		is.Equal(free(p), empty)
	})
}

// Guards against a sender that holds room for all that it has announced.
func TestSenderThatStopsHoldsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewPool(poolSize, poolWait)
		r, w := io.Pipe()
		done := make(chan error, 1)
		go func() {
			_, err := p.Read(t.Context(), r, limit, limit)
			done <- err
		}()
		_, err := w.Write([]byte("some"))
		is.NoErr(err)
		synctest.Wait()
		is.Equal(free(p), [2]int64{poolSize/2 - firstPart, poolSize / 2})
		_, err = w.Write(make([]byte, firstPart))
		is.NoErr(err)
		synctest.Wait()
		is.Equal(free(p), [2]int64{poolSize/2 - firstPart, poolSize/2 - firstPart})
		is.NoErr(w.CloseWithError(io.ErrUnexpectedEOF))
		is.Equal(<-done, io.ErrUnexpectedEOF)
		is.Equal(free(p), empty)
	})
}

// Guards against an answer that was given to nobody because there was no room when it came.
func TestReservedRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewPool(poolSize, poolWait)
		const reserved = 4 << 10
		b, err := p.Reserve(t.Context(), reserved)
		is.NoErr(err)
		var others []*Buffer
		for free(p)[0] > 0 {
			other, err := p.Reserve(t.Context(), min(free(p)[0], firstPart))
			is.NoErr(err)
			others = append(others, other)
		}
		_, err = p.Reserve(t.Context(), reserved)
		is.True(isFull(err))
		is.NoErr(b.Read(t.Context(), strings.NewReader(strings.Repeat("x", reserved)), -1, limit))
		is.Equal(len(b.Bytes()), reserved)
		b.Release()
		is.Equal(free(p), [2]int64{reserved, poolSize / 2})
		long, err := p.Reserve(t.Context(), reserved)
		is.NoErr(err)
		is.True(isFull(long.Read(t.Context(), strings.NewReader(strings.Repeat("x", reserved+1)), reserved+1, limit)))
		for _, other := range others {
			other.Release()
		}
		is.Equal(free(p), empty)
		long, err = p.Reserve(t.Context(), reserved)
		is.NoErr(err)
		is.NoErr(long.Read(t.Context(), strings.NewReader(strings.Repeat("x", limit)), -1, limit))
		is.Equal(len(long.Bytes()), limit)
		long.Release()
		is.Equal(free(p), empty)
	})
}

// Guards against a process without settings of its memory that serves nothing.
func TestNoPool(t *testing.T) {
	is := is.New(t)
	var p *Pool
	b, err := p.Read(t.Context(), strings.NewReader("all"), -1, limit)
	is.NoErr(err)
	is.Equal(string(b.Bytes()), "all")
	b.Release()
	var none *Buffer
	is.Equal(len(none.Bytes()), 0)
	none.Release()
}
