package main

import (
	"time"

	"verbenashift/core/plumbing/keys"
	"verbenashift/core/plumbing/settings"
)

// Settings are the settings of one entry.
type Settings struct {
	Name   string
	Region string
	Zone   string

	Callers   string
	Operators string
	Observe   string

	CallerCert string
	CallerKey  string
	Peer       keys.Files

	Store        []string
	StoreTimeout time.Duration
	Seeds        []string

	Body           int
	Connections    int
	Heads          int
	Bodies         int
	MaxTokens      int
	Streams        int
	SlowCaller     time.Duration
	KeepAlive      time.Duration
	ResponseBuffer int
	Tries          int
	Submits        int
	Claims         int
	Attaches       int
	Backoff        time.Duration
	RetryAfter     time.Duration
	DrainNotice    time.Duration
	DrainTimeout   time.Duration
	Heartbeat      time.Duration
	StoreRefresh   time.Duration
	BootstrapHash  string
	Instances      string
	InstancesPoll  time.Duration

	TraceExport string
	TracePerMil int
}

// declare names every setting of an entry with its default and bounds.
func (c *Settings) declare() *settings.Set {
	var s settings.Set
	s.Name("node", "name", &c.Name, "name of this instance, unique in the fleet")
	s.String("node", "region", &c.Region, "", "region of this instance")
	s.Name("node", "zone", &c.Zone, "availability zone of this instance")
	s.Address("listen", "callers", &c.Callers, "127.0.0.1:8080", "where callers connect")
	s.Address("listen", "operators", &c.Operators, "127.0.0.1:8081", "where operators connect")
	s.Address("listen", "observe", &c.Observe, "127.0.0.1:8082", "health, readiness and metrics")
	s.String("caller-tls", "cert", &c.CallerCert, "", "PEM file of the certificate towards callers and operators; empty for clear text on loopback")
	s.String("caller-tls", "key", &c.CallerKey, "", "PEM file of its key")
	c.Peer.Declare(&s)
	s.Addresses("store", "addresses", &c.Store, "the platform's key-value service")
	s.Duration("store", "timeout", &c.StoreTimeout, 2*time.Second, 10*time.Millisecond, time.Minute, "longest call to the store")
	s.Duration("store", "refresh", &c.StoreRefresh, 30*time.Second, time.Second, time.Hour, "time between reads of the configuration's head, in addition to watches and peers")
	s.Address("instances", "address", &c.Instances, "none", "the platform's list of live and leaving instances; none disables it")
	s.Duration("instances", "poll", &c.InstancesPoll, 2*time.Second, 100*time.Millisecond, time.Minute, "how often the list is read")
	s.Addresses("peers", "seeds", &c.Seeds, "agents to ask for the configuration when the store is down")
	s.Duration("peers", "heartbeat", &c.Heartbeat, time.Second, 10*time.Millisecond, time.Minute, "time between heartbeats")
	s.Int("limits", "body", &c.Body, 1<<20, 1024, 64<<20, "bytes", "largest request body")
	s.Int("limits", "connections", &c.Connections, 4096, 64, 1<<20, "connections", "most open connections of callers")
	s.Int("limits", "heads", &c.Heads, 16<<20, 1<<20, 1<<30, "bytes", "memory for heads of requests that are not small, of all callers together, and as much for operators; at least what one head of 64 KB may take")
	s.Int("limits", "bodies", &c.Bodies, 64<<20, 1<<20, 1<<40, "bytes", "memory for the bodies of all requests; at least four times [limits] body")
	s.Int("limits", "max-tokens", &c.MaxTokens, 32768, 1, 1<<20, "tokens", "largest max_tokens of a request")
	s.Int("limits", "streams", &c.Streams, 4096, 1, 1<<20, "requests", "most requests in progress at this entry")
	s.Duration("limits", "slow-caller", &c.SlowCaller, 30*time.Second, time.Second, time.Hour, "longest wait for a caller to take its answer")
	s.Int("limits", "whole-buffer", &c.ResponseBuffer, 1<<20, 1024, 64<<20, "bytes", "part of an answer that is buffered until its end is known")
	s.Duration("requests", "silence", &c.KeepAlive, 3*time.Second, 100*time.Millisecond, time.Minute, "interval of keep-alive comments on a stream that waits")
	s.Int("requests", "tries", &c.Tries, 3, 1, 10, "targets", "targets tried in a row without receiving any part of the answer")
	s.Int("requests", "submits", &c.Submits, 12, 1, 100, "attempts", "most attempts of one request in total")
	s.Int("requests", "claims", &c.Claims, 7, 1, 20, "calls", "most claim calls to the home of a key")
	s.Int("requests", "attaches", &c.Attaches, 4, 1, 20, "calls", "how often a broken answer is requested again if its request may not be repeated")
	s.Duration("requests", "backoff", &c.Backoff, 100*time.Millisecond, time.Millisecond, time.Minute, "delay before the first repeated claim or attach call; it doubles each time")
	s.Duration("requests", "retry-after", &c.RetryAfter, time.Second, time.Second, time.Hour, "Retry-After sent to callers when no better value is known")
	s.Duration("drain", "notice", &c.DrainNotice, 2*time.Second, 0, time.Minute, "time between telling the balancer and refusing new work")
	s.Duration("drain", "bound", &c.DrainTimeout, 30*time.Second, 0, time.Hour, "longest wait for requests in progress; the rest is handed over")
	s.String("operators", "bootstrap-token-hash", &c.BootstrapHash, "", "SHA-256 in hex of the admin token for the first configuration")
	s.Address("trace", "export", &c.TraceExport, "none", "OTLP/HTTP collector; none turns traces off")
	s.Int("trace", "per-mille", &c.TracePerMil, 10, 0, 1000, "requests in a thousand", "share of requests traced")
	return &s
}
