package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"connectrpc.com/connect"

	"verbenashift/core/configuration/config"
	"verbenashift/core/configuration/follow"
	"verbenashift/core/configuration/store"
	"verbenashift/core/peer"
	"verbenashift/core/peer/wire"
	"verbenashift/core/plumbing/eventloop"
	"verbenashift/core/request/booking"
)

// The limits of the register's event queue and of its calls to other agents, and
// the tolerated difference between wall clocks.
const (
	registerQueueSize = 1024
	sealTimeout       = 2 * time.Second
	sealRetry         = time.Second
	maxBackupHolders  = 3
	clockTolerance    = 10 * time.Minute
)

// reasonIsolated is the answer of a home that has no contact with other agents.
const reasonIsolated = "home-cut-off"

// register owns this agent's state for running a key at most once: as the home of
// the keys that hash to it, and as the executor of the keys that its target runs.
type register struct {
	loop      *eventloop.Loop
	home      booking.Home
	executor  booking.Executor
	backups   booking.Backups
	store     *store.Client
	deadHomes deadHomeRecords
	started   time.Time
	dialer    *peer.Dialer
	follower  *follow.Follower
	log       *slog.Logger
	// addresses are those of the agents of all targets that were ever configured
	// here: the agent of a removed target still has records.
	addresses sync.Map
	// configured is set with the first target list, which starts the rebuild.
	configured bool
	ready      chan struct{}
}

func newRegister(cfg Settings, id identity, s *store.Client, d *peer.Dialer, f *follow.Follower, log *slog.Logger) *register {
	lim := booking.Limits{Retention: cfg.Retention, MaxRun: cfg.MaxRun, ConfigLag: cfg.ConfigLag}
	return &register{
		loop:     eventloop.New(registerQueueSize),
		home:     booking.Home{Name: cfg.Name, Incarnation: id.incarnation, First: id.first, Limits: lim},
		executor: booking.Executor{Name: cfg.Name, Incarnation: id.incarnation, First: id.first, Limits: lim},
		backups:  booking.Backups{Limits: lim},
		store:    s,
		started:  time.Now(),
		dialer:   d,
		follower: f,
		log:      log,
		ready:    make(chan struct{}),
	}
}

// now returns the time since the process started, by the monotonic clock.
func (r *register) now() time.Duration {
	return time.Since(r.started)
}

// do runs fn on the register's event loop.
func (r *register) do(ctx context.Context, fn func(now time.Duration)) error {
	return r.loop.Do(ctx, func() { fn(r.now()) })
}

// wait waits until the register of the previous process, if there is one, has been
// restored. An executor that answered earlier would deny runs of that process.
func (r *register) wait(ctx context.Context) error {
	select {
	case <-r.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// configure applies a new target list, and starts the rebuild after the first one.
// Lists that this process has missed are applied first, in order: keys may have
// been claimed at the homes of any of them.
func (r *register) configure(ctx context.Context, x *config.Index) {
	cfg := x.Config()
	for _, t := range cfg.Targets {
		r.addresses.Store(t.Name, t.Agent)
	}
	lists := r.pastLists(cfg)
	lists = append(lists, booking.Generation{Revision: cfg.Revision, Names: config.HomeNames(cfg), Executors: config.TargetNames(cfg)})
	_ = r.loop.Post(ctx, func() {
		for _, g := range lists {
			r.home.Configure(g, r.now())
		}
		if r.configured {
			return
		}
		r.configured = true
		go r.start(ctx)
	})
}

// pastLists returns the replaced target lists whose keys may still matter. The
// wall clocks of entries and agents may differ by up to clockTolerance.
func (r *register) pastLists(cfg config.Config) []booking.Generation {
	life := r.home.Limits.Window() + r.home.Limits.ConfigLag + clockTolerance
	oldest := time.Now().Add(-life).UnixMilli()
	var lists []booking.Generation
	for _, p := range cfg.PastTargets {
		if p.ReplacedUnixMillis >= oldest {
			lists = append(lists, booking.Generation{Revision: p.Revision, Names: p.Homes, Executors: p.Names})
		}
	}
	return lists
}

// start restores a register that was handed over to a peer and then seals the
// executors, so that earlier grants of this home can do no harm.
func (r *register) start(ctx context.Context) {
	if x, ok := r.recall(ctx); ok {
		_ = r.do(ctx, func(now time.Duration) {
			r.home.Import(x.Home, now)
			r.executor.Import(x.Executor, now)
		})
	}
	var names []string
	_ = r.do(ctx, func(now time.Duration) { names = r.home.Rebuild(now) })
	close(r.ready)
	for _, name := range names {
		go r.sealAt(ctx, name)
	}
}

// sealAt seals one executor and retries until it answers.
func (r *register) sealAt(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if r.trySeal(ctx, name) == nil {
			return
		}
		select {
		case <-time.After(sealRetry):
		case <-ctx.Done():
		}
	}
}

func (r *register) trySeal(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	resp, err := r.dialer.Agent(r.address(name)).Seal(ctx, connect.NewRequest(&wire.SealRequest{
		Home: r.home.Name, HomeIncarnation: r.home.Incarnation,
	}))
	if err != nil {
		return err
	}
	a := sealAnswer(resp.Msg)
	return r.do(ctx, func(now time.Duration) { r.home.SealAnswered(name, a, now) })
}

func sealAnswer(m *wire.SealResponse) booking.SealAnswer {
	a := booking.SealAnswer{Incarnation: m.Incarnation, HighestHomeIncarnation: m.Heard, Age: booking.Forever}
	if !m.WholeMemory {
		a.Age = time.Duration(m.SinceMs) * time.Millisecond
	}
	for _, k := range m.Keys {
		a.Keys = append(a.Keys, booking.SealedKey{
			Key: booking.Key(k.Key), Body: booking.Digest(k.BodyDigest),
			RequestID: k.RequestId, Attempt: k.Attempt, State: booking.RunState(k.State),
		})
	}
	return a
}

// seal handles the request of another home to seal this executor.
func (r *register) seal(ctx context.Context, m *wire.SealRequest) (*wire.SealResponse, error) {
	if err := r.wait(ctx); err != nil {
		return nil, err
	}
	var a booking.SealAnswer
	err := r.do(ctx, func(now time.Duration) {
		a = r.executor.SealHome(booking.Seal{Home: m.Home, Incarnation: m.HomeIncarnation}, now)
	})
	if err != nil {
		return nil, err
	}
	resp := &wire.SealResponse{Incarnation: a.Incarnation, Heard: a.HighestHomeIncarnation, WholeMemory: a.Age == booking.Forever}
	if !resp.WholeMemory {
		resp.SinceMs = uint64(a.Age.Milliseconds())
	}
	for _, k := range a.Keys {
		resp.Keys = append(resp.Keys, &wire.SealedKey{
			Key: k.Key[:], BodyDigest: k.Body[:], RequestId: k.RequestID, Attempt: k.Attempt, State: uint32(k.State),
		})
	}
	return resp, nil
}

// claim decides on a claim. If the target list has changed, it first fetches the
// key's record from the previous homes.
func (r *register) claim(ctx context.Context, m *wire.ClaimRequest) (booking.Answer, error) {
	c := booking.Claim{
		Key: booking.Key(m.Key), Body: booking.Digest(m.BodyDigest), RequestID: m.RequestId,
		Executor: m.Executor, ExecutorIncarnation: m.ExecutorIncarnation, Revision: m.Revision,
	}
	// A home that is isolated from all others may use an old target list: the home
	// by a newer list could grant the same key.
	if r.follower.SinceConfirmed() > r.home.Limits.ConfigLag {
		return booking.Answer{Kind: booking.Rebuilding, Reason: reasonIsolated, RetryAfter: time.Second}, nil
	}
	var a booking.Answer
	claim := func(now time.Duration) { a = r.home.Claim(c, now) }
	if err := r.do(ctx, claim); err != nil {
		return a, err
	}
	if a.Kind != booking.NeedTransfer {
		return a, nil
	}
	for _, name := range a.From {
		r.transfer(ctx, c.Key, name)
	}
	if err := r.do(ctx, claim); err != nil {
		return a, err
	}
	// A previous home that cannot be reached may have granted the key.
	if a.Kind == booking.NeedTransfer {
		a = booking.Answer{Kind: booking.Unknown, Reason: booking.ReasonUnreachable}
	}
	return a, nil
}

// address returns the address of a target's agent, also of one that was removed
// from the configuration; "" if this process never knew it.
func (r *register) address(name string) string {
	if a, ok := r.addresses.Load(name); ok {
		return a.(string)
	}
	return ""
}

// transfer requests a key's record from a previous home, or, if that does not
// answer, from the executors.
func (r *register) transfer(ctx context.Context, key booking.Key, name string) {
	a, err := r.requestTransfer(ctx, key, name)
	if err != nil {
		a, err = r.recoverRecord(ctx, key, name)
	}
	if err != nil {
		r.log.Warn("previous home unreachable", "home", name, "error", err)
		return
	}
	_ = r.do(ctx, func(now time.Duration) { r.home.Transferred(key, name, a, now) })
}

func (r *register) requestTransfer(ctx context.Context, key booking.Key, name string) (booking.TransferAnswer, error) {
	var a booking.TransferAnswer
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	resp, err := r.dialer.Agent(r.address(name)).Transfer(ctx, connect.NewRequest(&wire.TransferRequest{
		Key: key[:], Revision: r.follower.Revision(),
	}))
	if err != nil {
		return a, err
	}
	err = json.Unmarshal(resp.Msg.Record, &a)
	return a, err
}
