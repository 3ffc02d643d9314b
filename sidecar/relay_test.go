package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/experts/rankpeer"
	"verbenashift/core/plumbing/boot"
	"verbenashift/core/plumbing/instance"
)

// The ports of the loopback instances of these tests.
const (
	testPeerPort = 9410
	testRankPort = 9411
)

// testIP returns the loopback address of an instance from a block of this process's own, so
// that several processes can run these tests at once.
func testIP(i int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + pid%128), byte(pid/128%48*4 + i/200), byte(i%200 + 1)})
}

// fakeRank is the server of one rank, which only reports its group and accepts orders.
type fakeRank struct {
	mu     sync.Mutex
	rank   int
	size   int
	orders []string
}

func (f *fakeRank) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/order" {
		var o struct{ Op string }
		_ = json.NewDecoder(r.Body).Decode(&o) // An order that can't be read is listed as none.
		f.orders = append(f.orders, o.Op)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"size": f.size, "step": 5, "pace": 1, "running": f.rank % 7,
		"group": map[string]any{"name": groupG.Name, "epoch": groupG.Epoch, "rank": f.rank, "state": "open"},
	})
}

// got returns how many orders of a kind the rank has received.
func (f *fakeRank) got(kind engine.OrderKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, o := range f.orders {
		if o == string(kind) {
			n++
		}
	}
	return n
}

// side is a group of agents and ranks on loopback addresses.
type side struct {
	*is.I
	t           *testing.T
	coordinator *coordinator
	agents      []*agent
	ranks       []*fakeRank
	// listeners are those of the agents.
	listeners []net.Listener
}

// newSide starts n ranks with their agents, and creates a coordinator next to the first one.
func newSide(t *testing.T, n int) *side {
	s := &side{I: is.New(t), t: t}
	v := viewOf(make([]deployment.Target, n)...)
	clear(v.Targets)
	for i := range n {
		ip := testIP(i)
		addr := netip.AddrPortFrom(ip, testRankPort)
		rank := &fakeRank{rank: i, size: n}
		s.serveRank(addr, rank)
		boot := boot.Settings{Instance: fmt.Sprintf("side-%03d", i), IP: ip, PortFirst: testPeerPort, Target: addr, Service: "pool"}
		a := newAgent(instance.Env{Boot: boot, Log: slog.New(slog.DiscardHandler)})
		s.agents, s.ranks = append(s.agents, a), append(s.ranks, rank)
		s.listeners = append(s.listeners, s.listen(a.addr()))
		go a.serve(s.listeners[i])
		id := fmt.Sprintf("i-%03d", i)
		v.Targets[id] = deployment.Target{ID: id, Service: "pool", Addr: addr, Group: groupG}
	}
	own := s.agents[0]
	_, err := own.readRank(t.Context())
	s.NoErr(err)
	s.coordinator = &coordinator{
		agent: own, group: groupG, log: own.log, core: lockstep.NewCoordinator(0, nil, 1), responses: map[string]rankpeer.Response{},
		members: members{peers: map[string]*peer{}, otherGroups: map[string]engine.GroupID{}}, role: role{term: 7},
	}
	s.coordinator.setRoster(s.coordinator.buildRoster(v, false))
	t.Cleanup(func() {
		for _, b := range s.coordinator.branches {
			b.link.close()
		}
	})
	return s
}

func (s *side) listen(addr netip.AddrPort) net.Listener {
	l, err := net.Listen("tcp", addr.String())
	s.NoErr(err)
	s.t.Cleanup(func() { _ = l.Close() })
	return l
}

func (s *side) serveRank(addr netip.AddrPort, h http.Handler) {
	server := &http.Server{Handler: h}
	l := s.listen(addr)
	go func() {
		// It ends with the test.
		_ = server.Serve(l)
	}()
	s.t.Cleanup(func() { _ = server.Close() })
}

// freeze makes agent i accept connections without answering.
func (s *side) freeze(i int) {
	s.NoErr(s.listeners[i].Close())
	s.listen(s.agents[i].addr())
	for _, a := range s.agents {
		for _, l := range a.relay.links {
			if l.addr == s.agents[i].addr() {
				l.close()
				l.dialAt = time.Time{}
			}
		}
	}
	for _, b := range s.coordinator.branches {
		if b.link.addr == s.agents[i].addr() {
			b.link.close()
			b.link.dialAt = time.Time{}
		}
	}
}

// query has the coordinator poll all ranks and returns how many are known.
func (s *side) query() int {
	s.coordinator.responses = map[string]rankpeer.Response{}
	s.True(s.coordinator.pollRanks(s.t.Context(), allRanks, false))
	known := 0
	for _, r := range s.coordinator.ranksInOrder() {
		if r.Known {
			known++
		}
	}
	return known
}

// relayIndex returns the last branch and the index of the agent that is its relay.
func (s *side) relayIndex() (*branch, int) {
	b := s.coordinator.branches[len(s.coordinator.branches)-1]
	return b, slices.IndexFunc(s.agents, func(a *agent) bool { return a.addr() == b.link.addr })
}

const sideRanks = 40

// Guards against a group without a working coordinator, since the responses of all ranks fill
// its link.
func TestRelaysAnswerForTheirBranches(t *testing.T) {
	s := newSide(t, sideRanks)
	s.Equal(len(s.coordinator.branches), 6)
	s.Equal(s.query(), sideRanks)
	for i, r := range s.coordinator.ranksInOrder() {
		s.Equal(r.State.Rank, i)
		s.Equal(r.State.Running, i%7)
	}
	for _, a := range s.agents {
		s.Equal(a.highestTerm(), int64(7))
	}
}

// Guards against a branch that stays unknown while its relay is stalled.
func TestStalledRelayIsReplaced(t *testing.T) {
	s := newSide(t, sideRanks)
	s.Equal(s.query(), sideRanks)
	b, i := s.relayIndex()
	s.freeze(i)
	s.Equal(s.query(), sideRanks-len(b.members)+1) // the relay's own rank is read directly
	s.True(b.link.addr != s.agents[i].addr())
	s.Equal(s.query(), sideRanks)
	s.True(s.coordinator.peers[fmt.Sprintf("i-%03d", i)].unreachable)
}

// Guards against replacing relay after relay before any has had the time to connect.
func TestNewRelayHasTimeToConnect(t *testing.T) {
	s := newSide(t, sideRanks)
	s.query()
	st := s.coordinator
	b, i := s.relayIndex()
	s.freeze(i)
	s.query()
	chosen := b.link
	s.True(chosen.addr != s.agents[i].addr())
	st.setDigest(st.buildDigest(st.ranksInOrder()))
	st.sendDigests(t.Context(), time.Now())
	s.True(!chosen.client.Connected()) // no digest is sent before it has answered
	chosen.unreachable = true          // and a failure does not shorten its timeout
	s.Equal(s.query(), sideRanks)
	s.True(b.link == chosen)
	s.True(!chosen.unreachable)
	s.True(chosen.patient)
}

// Guards against one stalled instance that hides its whole branch.
func TestSilentMemberHidesNobody(t *testing.T) {
	s := newSide(t, sideRanks)
	s.Equal(s.query(), sideRanks)
	b, i := s.relayIndex()
	relay := b.link.addr
	s.freeze(i + 1)
	s.Equal(s.query(), sideRanks) // it is read directly
	s.Equal(b.link.addr, relay)
	s.True(s.coordinator.peers[fmt.Sprintf("i-%03d", i+1)].unreachable)
}

// Guards against a branch that stays unknown during an upgrade, since its relay answers only
// for its own rank.
func TestRelayOfAnotherVersion(t *testing.T) {
	s := newSide(t, sideRanks)
	b, i := s.relayIndex()
	s.NoErr(s.listeners[i].Close())
	l := s.listen(s.agents[i].addr())
	st := engine.State{Group: groupG.Name, Epoch: groupG.Epoch, Rank: i, Size: sideRanks, Open: true}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				// It ends with the test.
				_ = rankpeer.Serve(c, func(rankpeer.Request) rankpeer.Response {
					return rankpeer.Response{Group: groupG, Known: true, State: st}
				})
			}()
		}
	}()
	s.query()
	s.True(b.link.addr != s.agents[i].addr())
	s.Equal(s.query(), sideRanks)
}

// Guards against an old coordinator that goes on, since only an agent that it reaches through a
// relay has accepted the next one.
func TestNewerCoordinatorIsSeenThroughARelay(t *testing.T) {
	s := newSide(t, sideRanks)
	s.Equal(s.query(), sideRanks)
	_, i := s.relayIndex()
	a := s.agents[i+1]
	a.acceptAnnouncement(rankpeer.Request{Word: lockstep.Announcement{Group: groupG, Term: 8, From: "side-x"}})
	s.coordinator.pending = map[string]lockstep.Command{fmt.Sprintf("i-%03d", i+1): {Rank: i + 1, Order: engine.Order{Kind: engine.ArmMap, Version: 3, Step: 9}}}
	s.True(!s.coordinator.pollRanks(t.Context(), allRanks, false))
	s.Equal(s.ranks[i+1].got(engine.ArmMap), 0)
}

// Guards against orders of a replaced coordinator, forwarded by a relay that was frozen.
func TestResumedRelayHarmsNobody(t *testing.T) {
	s := newSide(t, sideRanks)
	s.Equal(s.query(), sideRanks)
	b, i := s.relayIndex()
	old := s.coordinator.branchRequest(b, []int{0, 1}, false)
	old.Branch.Orders = []rankpeer.BranchOrder{{Order: engine.Order{Kind: engine.DisarmMap, Version: 3}, Members: []uint16{0, 1}}}
	for _, a := range s.agents[i : i+2] {
		a.acceptAnnouncement(rankpeer.Request{Word: lockstep.Announcement{Group: groupG, Term: 8, From: "side-x"}})
	}
	resp := s.agents[i].handleRequest(old)
	s.Equal(resp.Refused, lockstep.NewerCoordinator)
	s.True(resp.Branch == nil)
	// The same holds for a relay that has not accepted the next coordinator itself.
	s.agents[i].follower = lockstep.Follower{}
	s.agents[i].membershipAt = time.Time{}
	_, err := s.agents[i].readRank(t.Context())
	s.NoErr(err)
	s.True(s.agents[i].handleRequest(old).Branch != nil)
	s.Equal(s.ranks[i+1].got(engine.DisarmMap), 0)
}

// Guards against whole maps that fill the coordinator's link, or reach the agents one by one.
func TestWholeMapsGoThroughTheRelays(t *testing.T) {
	s := newSide(t, sideRanks)
	s.query()
	st := s.coordinator
	const sets = 240
	st.planner.engine = deployment.Engine{Sets: sets, Experts: 80, Places: 3}
	m := make(lockstep.Map, sets)
	for l := range m {
		m[l] = make([][]int, sideRanks)
		for e := range 80 {
			m[l][e%sideRanks] = append(m[l][e%sideRanks], e)
		}
	}
	for r := range sideRanks {
		st.planner.ranks = append(st.planner.ranks, fmt.Sprintf("i-%03d", r))
	}
	size := len(rankpeer.Pack(m, 3).Data)
	most := fullMapsAtOnce(&st.boot, size)
	s.True(most > 1 && most < sideRanks/4) // otherwise the test shows nothing
	// has reports whether an agent has the map; how soon its rank answers does not matter here.
	has := func(a *agent) bool { return a.storedMaps().get(groupG.Epoch, 9) != nil }
	haveIn := func(members []rankpeer.Member) int {
		n := 0
		for _, m := range members {
			if has(s.agents[slices.IndexFunc(s.agents, func(a *agent) bool { return a.boot.Target == m.Addr })]) {
				n++
			}
		}
		return n
	}
	have := func() int { return haveIn(st.roster.Members) }
	rounds := 0
	for ; have() < sideRanks && rounds < 2*sideRanks; rounds++ {
		st.pending = map[string]lockstep.Command{}
		for r, a := range s.agents {
			if !has(a) {
				o := engine.Order{Kind: engine.PrepareMap, Epoch: groupG.Epoch, Version: 9, Map: m}
				st.pending[fmt.Sprintf("i-%03d", r)] = lockstep.Command{Rank: r, Order: o}
			}
		}
		asked, before := bytesOf(t, "branch-asked"), make([]int, len(st.branches))
		for k, b := range st.branches {
			before[k] = haveIn(b.members)
		}
		s.query()
		const rest = 4 << 10 // what is sent besides whole maps
		s.True(bytesOf(t, "branch-asked")-asked <= float64(most*size+rest))
		for k, b := range st.branches {
			s.True(haveIn(b.members)-before[k] <= most) // each has received the whole map
		}
	}
	s.Equal(have(), sideRanks)
	// One poll to find out who lacks it, one to the relays, one to their members.
	s.True(rounds <= 3+len(st.branches)/most+7/most+1)
	t.Logf("%d maps of %d bytes at once, %d rounds", most, size, rounds)
}

// Guards against agents that take over at the same time and replace each other.
func TestTakeoverTurns(t *testing.T) {
	s := newSide(t, sideRanks)
	seen := map[uint16]bool{}
	for _, b := range s.coordinator.branches {
		s.Equal(len(b.turns), len(b.members))
		s.True(int(b.turns[b.relay]) < len(s.coordinator.branches))
		for _, turn := range b.turns {
			s.True(!seen[turn])
			seen[turn] = true
		}
	}
	s.query()
	_, i := s.relayIndex()
	s.Equal(s.agents[i].takeoverTurn-1, len(s.coordinator.branches)-1)
	s.True(s.agents[i+1].takeoverTurn-1 >= len(s.coordinator.branches))
}

// Guards against gateways that fill the coordinator's link.
func TestRelaysServeTheDigest(t *testing.T) {
	s := newSide(t, sideRanks)
	s.query()
	st := s.coordinator
	st.setDigest(st.buildDigest(st.ranksInOrder()))
	st.sendDigests(t.Context(), time.Now())
	_, i := s.relayIndex()
	req := rankpeer.Request{Digest: true, Word: lockstep.Announcement{Group: groupG}}
	d := s.agents[i].handleRequest(req).Digest
	s.Equal(len(d.Targets), sideRanks)
	s.Equal(len(d.Relays), len(st.branches))
	req.List = d.List
	s.True(s.agents[i].handleRequest(req).Digest.Targets == nil) // the gateway has the list
	s.True(s.agents[i+1].handleRequest(req).Digest == nil)
	// The next digest arrives without the list, and is returned with it all the same.
	st.digestsSentAt = time.Time{}
	st.sendDigests(t.Context(), time.Now())
	req.List = 0
	s.Equal(len(s.agents[i].handleRequest(req).Digest.Targets), sideRanks)
}

// Guards against an agent that has to take over without the roster of its group.
func TestRosterReachesEverybody(t *testing.T) {
	s := newSide(t, sideRanks)
	informed := func() int {
		n := 0
		for _, a := range s.agents[1:] {
			if r := a.lastRoster(); r != nil && len(r.Members) == sideRanks {
				n++
			}
		}
		return n
	}
	s.query()
	s.True(informed() <= rostersAtOnce)
	for range sideRanks {
		s.query()
	}
	s.Equal(informed(), sideRanks-1)
}

// Guards against counting gateways that have stopped polling, or missing some that poll.
func TestGatewaysAreCounted(t *testing.T) {
	s := newSide(t, sideRanks)
	_, i := s.relayIndex()
	for n := range 53 {
		at := []int{0, i}[n%2]
		s.agents[at].handleRequest(rankpeer.Request{Digest: true, Gateway: fmt.Sprintf("front-%02d", n), Word: lockstep.Announcement{Group: groupG}})
	}
	s.query()
	s.Equal(s.coordinator.buildDigest(s.coordinator.ranksInOrder()).Gateways, 53)
	s.Equal(s.agents[i].gateways.count(time.Now().Add(gatewayPollMaxAge+time.Second)), 0)
	for n := range 2 * maxGateways {
		s.agents[i].gateways.record(&rankpeer.Request{Gateway: fmt.Sprint(n)}, time.Now())
	}
	s.Equal(s.agents[i].gateways.count(time.Now()), maxGateways)
}

// Guards against two coordinators of one term that go on sending orders to the ranks, past the
// agents that refuse one of them.
func TestRefusedCoordinatorDoesNotOrderDirectly(t *testing.T) {
	const ranks = 4
	s := newSide(t, ranks)
	for _, a := range s.agents {
		_, err := a.readRank(t.Context())
		s.NoErr(err)
		s.Equal(a.acceptAnnouncement(rankpeer.Request{Word: lockstep.Announcement{Group: groupG, Term: 7, From: "side-999"}}), lockstep.Accepted)
	}
	for i := range ranks {
		o := engine.Order{Kind: engine.DisarmMap, Epoch: groupG.Epoch, Version: 3}
		s.coordinator.pending = map[string]lockstep.Command{fmt.Sprintf("i-%03d", i): {Rank: i, Order: o}}
		s.Equal(s.query(), 0)
		s.Equal(s.ranks[i].got(engine.DisarmMap), 0)
		s.True(!s.coordinator.peers[fmt.Sprintf("i-%03d", i)].unreachable)
	}
}
