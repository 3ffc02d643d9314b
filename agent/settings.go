package main

import (
	"time"

	"verbenashift/agent/steering"
	"verbenashift/core/plumbing/keys"
	"verbenashift/core/plumbing/settings"
)

// The kinds of targets.
const (
	kindModel   = "model"
	kindService = "service"
)

// Settings are the settings of one agent.
type Settings struct {
	Name   string
	Region string
	Zone   string

	Peers   string
	Observe string
	Peer    keys.Files

	Target     string
	Kind       string
	OrderToken string

	Store        []string
	StoreTimeout time.Duration
	StoreRefresh time.Duration
	Seeds        []string
	Heartbeat    time.Duration
	Connections  int
	Messages     int

	Slots       int
	QueueItems  int
	QueueTokens int
	Rate        int
	AnswerSize  int
	Keep        time.Duration
	KeepRead    time.Duration
	Detached    time.Duration
	// AnswerMemory is in bytes.
	AnswerMemory int
	MaxRun       time.Duration
	Retention    time.Duration
	ConfigLag    time.Duration
	DrainBound   time.Duration

	Group steering.Settings

	TraceExport string
	TracePerMil int
}

// declare declares the settings of an agent with their defaults and bounds.
func (c *Settings) declare() *settings.Set {
	var s settings.Set
	s.Name("node", "name", &c.Name, "name of the target beside which this agent runs, as in the configuration")
	s.String("node", "region", &c.Region, "", "region of this instance")
	s.Name("node", "zone", &c.Zone, "availability zone of this instance")
	s.Address("listen", "peers", &c.Peers, "127.0.0.1:7000", "where entries and other agents connect")
	s.Address("listen", "observe", &c.Observe, "127.0.0.1:7001", "health, readiness and metrics")
	c.Peer.Declare(&s)
	s.Address("target", "address", &c.Target, "", "the target beside this agent")
	s.Choice("target", "kind", &c.Kind, "what the target is", kindModel, kindService)
	s.String("target", "order-token", &c.OrderToken, "", "bearer token of orders, for a target that checks who gives them")
	s.Secret()
	s.Addresses("store", "addresses", &c.Store, "the platform's key-value service")
	s.Duration("store", "timeout", &c.StoreTimeout, 2*time.Second, 10*time.Millisecond, time.Minute, "longest call to the store")
	s.Duration("store", "refresh", &c.StoreRefresh, 5*time.Minute, time.Second, time.Hour, "time between reads of the configuration's head, in addition to watches and peers")
	s.Addresses("peers", "seeds", &c.Seeds, "agents to ask for the configuration when the store is down")
	s.Int("peers", "connections", &c.Connections, 4096, 64, 1<<20, "connections", "most open connections of other processes")
	s.Int("peers", "messages", &c.Messages, 64<<20, 40<<20, 1<<40, "bytes", "memory for the messages of all other processes; half of it is for the beginnings of messages")
	s.Duration("peers", "heartbeat", &c.Heartbeat, time.Second, 10*time.Millisecond, time.Minute, "time between heartbeats")
	s.Int("queue", "slots", &c.Slots, 32, 1, 4096, "requests", "requests at the target at once")
	s.Int("queue", "items", &c.QueueItems, 1024, 1, 1<<20, "requests", "requests that may wait")
	s.Int("queue", "tokens", &c.QueueTokens, 1<<20, 1, 1<<30, "tokens", "work that may wait")
	s.Int("queue", "rate", &c.Rate, 2000, 1, 1<<20, "tokens a second", "initial estimate of the target's rate")
	s.Int("answers", "size", &c.AnswerSize, 4<<20, 1024, 256<<20, "bytes", "largest answer")
	s.Duration("answers", "keep", &c.Keep, 2*time.Minute, time.Second, time.Hour, "how long an ended answer of a request that may not be repeated can be read again")
	s.Duration("answers", "keep-read", &c.KeepRead, 10*time.Second, time.Second, time.Hour, "how long any other ended answer can be read again")
	s.Int("answers", "memory", &c.AnswerMemory, 8<<20, 1024, 1<<30, "bytes", "memory of all ended answers; the oldest are removed first")
	s.Duration("answers", "detached", &c.Detached, 20*time.Second, time.Second, time.Hour, "how long a repeatable answer continues without a reader")
	s.Duration("register", "max-run", &c.MaxRun, 10*time.Minute, time.Second, 24*time.Hour, "longest run of a request")
	s.Duration("register", "retention", &c.Retention, 10*time.Minute, time.Second, 24*time.Hour, "how long a key is remembered after its run")
	s.Duration("register", "config-lag", &c.ConfigLag, 15*time.Minute, time.Second, 24*time.Hour, "how long this agent decides on keys without a confirmation of its configuration")
	s.Duration("drain", "bound", &c.DrainBound, 30*time.Second, 0, time.Hour, "longest wait for requests in progress; the rest is handed over")
	c.Group.Declare(&s)
	s.Address("trace", "export", &c.TraceExport, "none", "OTLP/HTTP collector; none turns traces off")
	s.Int("trace", "per-mille", &c.TracePerMil, 10, 0, 1000, "requests in a thousand", "share of the requests traced for which no entry has made the trace decision")
	return &s
}
