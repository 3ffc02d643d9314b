package intent_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/intent"
	"verbenashift/core/configuration/store"
)

// write is a delayed compare-and-swap that has not arrived yet.
type write struct {
	key     string
	version int64
	value   []byte
}

// flaky is a store whose writes fail in randomly drawn ways.
type flaky struct {
	*fake
	t       *rapid.T
	pending []write
}

func (f *flaky) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease int64) (int64, error) {
	if n := len(f.pending); n > 0 && rapid.Bool().Draw(f.t, "late first") {
		f.deliver(rapid.IntRange(0, n-1).Draw(f.t, "late"))
	}
	switch rapid.SampledFrom([]string{"done", "done", "done", "lost", "refused", "late", "late"}).Draw(f.t, "write") {
	case "lost":
		f.lose = 1
	case "refused":
		return 0, &store.UnavailableError{Op: "compare-and-swap"}
	case "late":
		f.pending = append(f.pending, write{key, version, value})
		return 0, &store.UnknownError{Op: "compare-and-swap"}
	}
	v, err := f.fake.CompareAndSwap(ctx, key, version, value, lease)
	f.lose = 0
	return v, err
}

// deliver lets a late write arrive.
func (f *flaky) deliver(i int) {
	w := f.pending[i]
	f.pending = append(f.pending[:i], f.pending[i+1:]...)
	_, _ = f.fake.CompareAndSwap(context.Background(), w.key, w.version, w.value, 0)
}

// claim is the reported result of an operator's request.
type claim struct {
	change   string // the identifier of the request's own change
	revision uint64 // the reported revision, if it succeeded
	plan     string
	mark     string
	refused  bool
}

// history simulates operators on a flaky store and records the reported results.
type history struct {
	p      *intent.Planner
	f      *flaky
	plans  []string
	claims []claim
	n      int
}

func (h *history) request(operator string) intent.Request {
	h.n++
	return by(fmt.Sprint("r", h.n), operator)
}

func (h *history) declare(t *rapid.T) {
	in := shares(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "intent"),
		rapid.SampledFrom([]string{"erie", "huron"}).Draw(t, "workspace"), float64(rapid.IntRange(1, 3).Draw(t, "share")))
	if plan, err := h.p.Declare(context.Background(), in, h.request("ruth")); err == nil {
		h.plans = append(h.plans, plan.ID)
	}
}

func (h *history) close(t *rapid.T, mark string) {
	if len(h.plans) == 0 {
		return
	}
	id, req := rapid.SampledFrom(h.plans).Draw(t, "plan"), h.request("naomi")
	f := h.p.Confirm
	if mark == "/abandon/" {
		f = h.p.Abandon
	}
	plan, err := f(context.Background(), id, req)
	var unknown *store.UnknownError
	h.claims = append(h.claims, claim{
		change: id + mark + req.ID, revision: plan.Revision, plan: id, mark: mark,
		refused: err != nil && !errors.As(err, &unknown),
	})
}

// check compares the reported results with the head, which retains all changes
// of so short a history.
func (h *history) check(t *rapid.T) {
	head, _, err := intent.Head{Store: h.f.fake}.Read(context.Background())
	is.New(t).NoErr(err)
	closed := map[string]string{}
	for i, a := range head.Changes {
		if a.Revision != uint64(i+1) {
			t.Fatalf("change %d made revision %d", i+1, a.Revision)
		}
		plan, _, _ := strings.Cut(a.ID, "/")
		if before, ok := closed[plan]; ok {
			t.Fatalf("plan closed twice: %s and %s", before, a.ID)
		}
		closed[plan] = a.ID
	}
	for _, c := range h.claims {
		applied, ok := head.Applied(c.change)
		if c.refused && ok {
			t.Fatalf("%s was refused and made revision %d", c.change, applied.Revision)
		}
		if c.revision > 0 && !strings.HasPrefix(head.Changes[c.revision-1].ID, c.plan+c.mark) {
			t.Fatalf("%s was told of revision %d, which is %s", c.change, c.revision, head.Changes[c.revision-1].ID)
		}
	}
}

// Guards against late writes that still succeed while operators declare, confirm
// and abandon and the store loses answers, rejects writes and applies some long
// after they seemed lost: "nothing was changed" would be reported of a plan that
// is then applied, or a plan would be applied twice.
func TestReportedOutcomesMatchTheHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &flaky{fake: &fake{keys: map[string]store.KV{}}, t: t}
		c := base()
		_, err := intent.Head{Store: f.fake}.Edit(context.Background(), []config.Edit{{Replace: &c}}, "first", nil, by("first", "admin"))
		is.New(t).NoErr(err)
		h := &history{p: &intent.Planner{Head: intent.Head{Store: f}}, f: f}
		t.Repeat(map[string]func(*rapid.T){
			"declare": h.declare,
			"confirm": func(t *rapid.T) { h.close(t, "/confirm/") },
			"abandon": func(t *rapid.T) { h.close(t, "/abandon/") },
			"deliver": func(t *rapid.T) {
				if n := len(f.pending); n > 0 {
					f.deliver(rapid.IntRange(0, n-1).Draw(t, "late"))
				}
			},
			"": h.check,
		})
	})
}
