package buffers

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// received is a body that is received from a sender.
type received struct {
	body *Buffer
	err  error
	done chan struct{}
}

// receive receives a body of n bytes, of which its sender sends sent and then stops for good if that is
// less. It ends when its room is taken back.
func receive(ctx context.Context, p *Pool, sent, n int) *received {
	r := &received{body: p.Buffer(), done: make(chan struct{})}
	ctx, cancel := context.WithCancelCause(ctx)
	in, out := io.Pipe()
	context.AfterFunc(ctx, func() { _ = out.CloseWithError(context.Cause(ctx)) })
	r.body.Receive(cancel)
	go func() {
		_, _ = io.Copy(out, strings.NewReader(strings.Repeat("x", sent))) // It may be taken back.
		if sent == n {
			_ = out.Close()
		}
	}()
	go func() {
		defer close(r.done)
		r.err = r.body.Read(ctx, in, -1, limit)
	}()
	return r
}

// ended reports whether the body was received or given up.
func (r *received) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func countEnded(all []*received) (n int) {
	for _, r := range all {
		if r.ended() {
			n++
		}
	}
	return n
}

// inBubble runs a test in virtual time with a context that ends what is left.
func inBubble(t *testing.T, test func(is *is.I, ctx context.Context, p *Pool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := NewPool(poolSize, poolWait)
		test(is.New(t), ctx, p)
		cancel()
		time.Sleep(2 * poolWait)
		synctest.Wait()
	})
}

// Guards against answers that are lost because those of others stop before their ends and fill the room.
func TestBodiesThatStopKeepNobodyOut(t *testing.T) {
	for n, sound := range map[int]int{firstPart: firstPart, 2 * firstPart: 2 * firstPart, limit: limit / 2} {
		inBubble(t, func(is *is.I, ctx context.Context, p *Pool) {
			var stuck []*received
			for range poolSize / max(n, 2*firstPart) {
				stuck = append(stuck, receive(ctx, p, n-1, n))
			}
			synctest.Wait()
			for range 10 {
				began := time.Now()
				r := receive(ctx, p, sound, sound)
				<-r.done
				is.NoErr(r.err)
				is.True(time.Since(began) <= poolWait)
				_, err := p.Reserve(ctx, 4<<10) // so that the next request can be sent
				is.NoErr(err)
				r.body.Release()
			}
			is.True(p.Held() <= poolSize)
			for _, r := range stuck {
				var reclaimed *ReclaimedError
				is.True(!r.ended() || errors.As(r.err, &reclaimed) || isFull(r.err))
			}
			is.True(countEnded(stuck) < len(stuck)) // no more than needed
		})
	}
}

// Guards against answers that are late because longer ones of others that have stopped fill the room.
func TestBodiesThatStopYieldSoon(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context, p *Pool) {
		for range 4 {
			receive(ctx, p, limit-1, limit)
			synctest.Wait()
		}
		began := time.Now()
		r := receive(ctx, p, limit/2, limit/2)
		<-r.done
		is.NoErr(r.err)
		is.True(time.Since(began) < poolWait/preemptPart)
		is.Equal(p.Reclaimed(), int64(1)) // no more than needed
	})
}

// hold returns a buffer in reception, with room for n bytes beyond the beginning of a body, that gets
// bytes all the time. Taken is closed when it is taken back.
func hold(ctx context.Context, is *is.I, p *Pool, n int64) (b *Buffer, taken chan struct{}) {
	b, taken = p.Buffer(), make(chan struct{})
	b.Receive(func(error) { close(taken) })
	is.NoErr(b.Extend(ctx, firstPart+n))
	go func() {
		for ctx.Err() == nil {
			b.Progress()
			time.Sleep(poolWait / sweepsInWait)
		}
	}()
	return b, taken
}

// holdUntilTaken holds a buffer until it is taken back.
func holdUntilTaken(ctx context.Context, is *is.I, p *Pool, n int64) {
	b, taken := hold(ctx, is, p, n)
	go func() {
		select {
		case <-taken:
			b.Release()
		case <-ctx.Done():
		}
	}()
}

// Guards against long bodies that arrive without a pause and fill the room, so that shorter ones are lost.
func TestLongBodiesYieldToShorterOnes(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context, p *Pool) {
		const size = poolSize / 2
		for range 4 {
			holdUntilTaken(ctx, is, p, size/4)
		}
		r := receive(ctx, p, limit/2, limit/2)
		<-r.done
		is.NoErr(r.err)
		is.Equal(p.Reclaimed(), int64(1))
	})
}

// Guards against bodies each of which waits for what the others hold, so that all are lost.
func TestBodiesThatAllWaitAreNotAllLost(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context, p *Pool) {
		const n = poolSize / 4 / firstPart
		var all []*Buffer
		for range n {
			b := p.Buffer()
			is.NoErr(b.Extend(ctx, 3*firstPart))
			all = append(all, b)
		}
		is.Equal(free(p)[rest], int64(0))
		whole := make(chan bool, n)
		for _, b := range all {
			go func() {
				ctx, cancel := context.WithCancelCause(ctx)
				b.Receive(cancel)
				err := b.Extend(ctx, 6*firstPart)
				b.Release()
				whole <- err == nil
			}()
		}
		time.Sleep(poolWait / 2)
		synctest.Wait()
		is.Equal(len(whole), n)
		got := 0
		for range n {
			if <-whole {
				got++
			}
		}
		is.True(got >= n/3)
	})
}

// Guards against losing a body that arrives in time, while others wait for room only since there is not
// enough for all of the same length.
func TestBodiesInTimeAreNotTakenBack(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context, p *Pool) {
		const size = poolSize / 2
		for range 4 {
			holdUntilTaken(ctx, is, p, size/4)
		}
		r := p.Buffer()
		r.Receive(func(error) { is.Fail() })
		is.True(isFull(r.Extend(ctx, firstPart+size/4)))
		is.Equal(p.Reclaimed(), int64(0))
	})
}

// Guards against a body for which no room can be taken back and that holds up another one.
func TestBodyWithoutAClaimHoldsUpNobody(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context, p *Pool) {
		const size = poolSize / 2
		b := p.Buffer()
		is.NoErr(b.Extend(ctx, firstPart+size-160)) // that of a request is never taken back
		first, _ := hold(ctx, is, p, 10)
		second, taken := hold(ctx, is, p, 100)
		done := make(chan error, 1)
		go func() { done <- first.Extend(ctx, first.held+60) }()
		synctest.Wait()
		began := time.Now()
		is.NoErr(second.Extend(ctx, second.held+20)) // of the 50 that are free
		is.Equal(time.Since(began), time.Duration(0))
		<-taken // It is larger, and yields after a time.
		second.Release()
		is.NoErr(<-done)
	})
}

// Guards against losing an answer that was received to its end, or one within the room that was reserved
// for it before the request was sent.
func TestWhatIsCompleteOrReservedIsNotTakenBack(t *testing.T) {
	inBubble(t, func(is *is.I, ctx context.Context, p *Pool) {
		const reserved = 4 << 10
		abandon := func(error) { is.Fail() }
		var held []*Buffer
		for range poolSize / 2 / firstPart / 2 {
			b := p.Buffer()
			b.Receive(abandon)
			is.NoErr(b.Read(ctx, strings.NewReader(strings.Repeat("x", firstPart)), -1, limit))
			held = append(held, b)
		}
		for free(p)[0] > 0 {
			b, err := p.Reserve(ctx, reserved)
			is.NoErr(err)
			b.Receive(abandon)
			held = append(held, b)
		}
		time.Sleep(2 * poolWait)
		_, err := p.Reserve(ctx, reserved)
		is.True(isFull(err))
		is.Equal(p.Reclaimed(), int64(0))
		for _, b := range held {
			b.Release()
		}
		is.Equal(free(p), empty)
	})
}

// Guards against memory over the stated total, and against room that is lost, whatever is sent.
func TestAnyBodiesKeepToTheTotal(t *testing.T) {
	for seed := range uint64(20) {
		inBubble(t, func(is *is.I, ctx context.Context, p *Pool) {
			rng := rand.New(rand.NewPCG(seed, 59))
			var wg sync.WaitGroup
			for range 300 {
				n := 1 + rng.IntN(2*limit)
				sent, hold := n-rng.IntN(2)*rng.IntN(n), time.Duration(rng.IntN(300))*time.Millisecond
				wg.Go(func() {
					r := receive(ctx, p, sent, n)
					select {
					case <-r.done:
					case <-time.After(3 * poolWait):
						r.body.abandon(context.Canceled)
						<-r.done
					}
					time.Sleep(hold)
					is.True(r.err != nil || len(bytes.Trim(r.body.Bytes(), "x")) == 0)
					r.body.Release()
				})
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
				is.True(p.Held() <= poolSize)
			}
			wg.Wait()
			is.Equal(free(p), empty)
			is.Equal(len(p.receiving), 0)
			for part := range p.rooms {
				is.Equal(p.rooms[part].reclaiming, int64(0))
				is.Equal(len(p.rooms[part].waiters), 0)
			}
		})
	}
}
