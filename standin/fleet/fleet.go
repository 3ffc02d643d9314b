package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Shape describes what a fleet consists of.
type Shape struct {
	// Dir is the directory of the settings files.
	Dir string
	// Block is the first three numbers of the loopback addresses.
	Block           string
	Ranks, Gateways int
	// Groups is the number of expert groups, each with Ranks ranks; 0 means one.
	Groups int
	// Zones is the number of availability zones, named z1, z2 and so on, to which the servers
	// belong in turn; 0 means one. The other processes are in z1.
	Zones int
	// OmitGroup makes the servers omit their group from their entries in the store.
	OmitGroup bool
	// LateOrders is the share of orders that are carried out late and not answered.
	LateOrders float64
	// Classes makes every second stream one of a route with a lower priority.
	Classes bool
	// Links puts Fleet.Links between the processes and the store and servers.
	Links bool
}

// Boot is the settings file of one process.
type Boot struct {
	// Name is the name of the instance, Role is "gateway" or "sidecar".
	Name, Role, File string
}

// Fleet is a running stand-in for the platform.
type Fleet struct {
	Shape
	Store  *Store
	Groups []*Group
	Ledger *Ledger
	Boots  []Boot
	// Links is nil unless the shape requests it.
	Links *Links
	// Fronts are the addresses at which the gateways serve callers, Ready those of
	// their readiness checks.
	Fronts, Ready []string

	refuse atomic.Bool
	// crowded is the number of the gateway to which most new connections go, counted from 1, or 0.
	crowded atomic.Int32
	models  []*modelServer
	plains  []*plainServer
	version int
	done    chan struct{}
	servers []*process
	closers []io.Closer
}

// The ports of all processes; each process has an IP address of its own.
const (
	storePort = 9300
	appPort   = 9301
	frontPort = 9302
	readyPort = 9303
	peerPort  = 9310
	lastPort  = 9319
	// linkedPortOffset is added to the port of a server that is behind Links.
	linkedPortOffset = 100
)

// graceSeconds is the time from SIGTERM to SIGKILL.
const graceSeconds = 8

// plainTimeout is the timeout of plain requests at the start.
const plainTimeout = 2 * time.Second

// Start starts the servers and writes the settings files.
func Start(shape Shape) (*Fleet, error) {
	f := &Fleet{
		Shape: shape, Store: NewStore(),
		Ledger: &Ledger{runs: map[string]int{}, runsIn: map[string]int{}, fronts: map[string]string{}, crashingArrivals: map[string][]time.Time{}, crashes: map[string][]time.Time{}, arrivals: map[string]*arrivals{}, seen: map[string]int{}}, done: make(chan struct{}),
	}
	if shape.Links {
		f.Links = newLinks()
	}
	if _, err := f.serve(f.ip(1), storePort, f.Store); err != nil {
		return nil, err
	}
	f.Configure(int(plainTimeout.Milliseconds()))
	for k := range max(shape.Groups, 1) {
		if err := f.addGroup(k); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		if err := f.addPlain(i); err != nil {
			return nil, err
		}
	}
	for i := range shape.Gateways {
		ip := f.ip(200 + i)
		f.Fronts = append(f.Fronts, net.JoinHostPort(ip, strconv.Itoa(frontPort)))
		f.Ready = append(f.Ready, net.JoinHostPort(ip, strconv.Itoa(readyPort)))
		listen := map[string]string{"front": f.Fronts[i], "ready": f.Ready[i]}
		if err := f.writeSettings(fmt.Sprintf("front-%d", i), "gateway", ip, listen, ""); err != nil {
			return nil, err
		}
	}
	for _, g := range f.Groups {
		go g.Run(f.done)
	}
	return f, nil
}

// Stop stops the servers.
func (f *Fleet) Stop() {
	close(f.done)
	for _, c := range f.closers {
		// It is a listener; an error of Close has no consequence.
		_ = c.Close()
	}
	for _, p := range f.servers {
		p.stop()
	}
}

// Refuse makes all model servers refuse requests, or serve them again.
func (f *Fleet) Refuse(refuse bool) { f.refuse.Store(refuse) }

// ShiftLoad changes which experts are popular, in all groups.
func (f *Fleet) ShiftLoad() {
	for _, g := range f.Groups {
		g.ShiftLoad()
	}
}

// Freeze makes the model server of a rank stop answering, or answer again. Its group
// continues meanwhile.
func (f *Fleet) Freeze(rank int, frozen bool) { f.models[rank].frozen.Store(frozen) }

// Served returns the number of requests that a plain server has run.
func (f *Fleet) Served(plain int) int { return int(f.plains[plain].served.Load()) }

// Plains returns the number of plain servers.
func (f *Fleet) Plains() int { return len(f.plains) }

// SetFault injects a fault into a plain server; NoFault clears it.
func (f *Fleet) SetFault(plain int, fault Fault) { f.plains[plain].fault.Store(int32(fault)) }

// Crowd directs nine in ten of the callers to one gateway, each with a new connection; NoCrowd ends
// that.
func (f *Fleet) Crowd(gateway int) { f.crowded.Store(int32(gateway + 1)) }

// NoCrowd is the gateway that ends a crowd.
const NoCrowd = -1

// front returns the gateway for the i-th call, and whether most calls go there.
func (f *Fleet) front(i int) (addr string, crowded bool) {
	if c := int(f.crowded.Load()); c > 0 && i%10 > 0 {
		return f.Fronts[c-1], true
	}
	return f.Fronts[i%len(f.Fronts)], false
}

// CrashDowntime is how long a server stays down after a request has crashed it.
const CrashDowntime = 1500 * time.Millisecond

// crashRank stops the process of a rank, and starts it again after CrashDowntime.
func (f *Fleet) crashRank(rank int, p *process) {
	f.Crash(rank, CrashDowntime)
	p.stop()
	time.AfterFunc(CrashDowntime, func() { f.restart(p) })
}

// restart starts a stopped process, unless the fleet has been stopped.
func (f *Fleet) restart(p *process) {
	select {
	case <-f.done:
	default:
		if err := p.start(); err != nil {
			panic(err) // No other process uses the address.
		}
	}
}

// Crash stops the server of a rank and starts it again under the same ID after some
// time. Its group stalls for stallTime; then it aborts all streams and refuses
// requests until the rank is back and the group has formed anew.
func (f *Fleet) Crash(rank int, downtime time.Duration) {
	m := f.models[rank]
	m.rank.group.removeRank(m.rank)
	time.AfterFunc(downtime, func() {
		m.rank.group.rejoin(m.rank)
		f.registerRank(m.rank)
	})
}

func (f *Fleet) ip(n int) string { return f.Block + "." + strconv.Itoa(n) }

func (f *Fleet) serve(ip string, port int, h http.Handler) (*process, error) {
	p := &process{addr: net.JoinHostPort(ip, strconv.Itoa(port)), handler: h}
	if f.Links != nil {
		front, err := net.Listen("tcp", p.addr)
		if err != nil {
			return nil, err
		}
		p.addr = net.JoinHostPort(ip, strconv.Itoa(port+linkedPortOffset))
		f.closers = append(f.closers, front)
		go f.Links.serve(front, p.addr)
	}
	f.servers = append(f.servers, p)
	return p, p.start()
}

// addGroup starts the servers of a group.
func (f *Fleet) addGroup(k int) error {
	g := NewGroup(k, f.Ranks)
	g.lateOrders = f.LateOrders
	f.Groups = append(f.Groups, g)
	for _, r := range g.ranks {
		if err := f.addRank(r); err != nil {
			return err
		}
	}
	return nil
}

// firstRank is the last number of the IP address of the first rank.
const firstRank = 10

func (f *Fleet) addRank(r *Rank) error {
	n := len(f.models)
	r.ip = f.ip(firstRank + n)
	m := &modelServer{server: server{id: r.id, zone: f.zone(r.index), service: "pool", ledger: f.Ledger, refuse: func() bool { return f.refuse.Load() || r.group.refuses() }}, rank: r}
	f.models = append(f.models, m)
	p, err := f.serve(r.ip, appPort, m)
	if err != nil {
		return err
	}
	m.crash = func() { f.crashRank(n, p) }
	f.registerRank(r)
	return f.writeSettings(fmt.Sprintf("side-%d", n), "sidecar", r.ip, map[string]string{}, net.JoinHostPort(r.ip, strconv.Itoa(appPort)))
}

// registerRank writes the store entry of a rank's server.
func (f *Fleet) registerRank(r *Rank) {
	entry := f.entry("pool", r.ip, f.zone(r.index), slots)
	r.group.mu.Lock()
	entry["born"] = r.startedAt
	if !f.OmitGroup {
		entry["group"], entry["size"] = r.membership(), len(r.group.ranks)
	}
	r.group.mu.Unlock()
	f.put("servers/"+r.id, entry)
}

func (f *Fleet) addPlain(i int) error {
	ip, id := f.ip(100+i), fmt.Sprintf("i-plain%d", i)
	s := &plainServer{server: server{id: id, zone: f.zone(i), service: "desk", ledger: f.Ledger}}
	f.plains = append(f.plains, s)
	p, err := f.serve(ip, appPort, s)
	if err != nil {
		return err
	}
	s.crash = func() {
		p.stop()
		time.AfterFunc(CrashDowntime, func() {
			f.restart(p)
			f.put("servers/"+id, f.entry("desk", ip, f.zone(i), 6))
		})
	}
	f.put("servers/"+id, f.entry("desk", ip, f.zone(i), 6))
	return nil
}

// zone returns the zone of the nth server of a service.
func (f *Fleet) zone(n int) string { return fmt.Sprintf("z%d", 1+n%max(f.Zones, 1)) }

// Evacuate evacuates a zone as an operator of the platform does, or takes it back.
func (f *Fleet) Evacuate(zone string, evacuated bool) {
	key := "op/evacuate/" + zone
	if evacuated {
		f.put(key, map[string]any{})
		return
	}
	f.Store.Remove(key)
}

// entry returns the fields that every server writes to the store.
func (f *Fleet) entry(service, ip, zone string, slots int) map[string]any {
	return map[string]any{
		"backend": service, "addr": net.JoinHostPort(ip, strconv.Itoa(appPort)), "zone": zone,
		"version": "v1", "slots": slots, "state": "ready", "coldMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
}

func (f *Fleet) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // All values can be encoded.
	}
	f.Store.Put(key, data)
}
