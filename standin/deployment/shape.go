package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"verbenashift/core/configuration/config"
)

// Settings maps "section.key" to the values of a settings file.
type Settings map[string]string

// Shape describes what a deployment consists of. Only Block is required.
type Shape struct {
	// Block is the first three numbers of the IP addresses, such as
	// "127.0.10". Two deployments must not run in the same block at once.
	Block string
	// Entries, ModelTargets and ServiceTargets are numbers of processes. 0
	// entries means 1; no targets at all means 2 targets of models.
	Entries, ModelTargets, ServiceTargets int
	// Zones are the availability zones, assigned to processes in turn; empty
	// means bole, merkato and kazanchis.
	Zones []string
	// Model and Service are the names that the targets serve; empty means
	// "caption" and "job-desk".
	Model, Service string
	// Workspaces are the callers' workspaces; empty means "harbor-home" and
	// "birch-home". The token of a workspace is its name followed by "-token".
	Workspaces []string
	// EntrySettings and AgentSettings override values of the settings files.
	EntrySettings, AgentSettings Settings
	// EngineFlags, PlainFlags and PlatformFlags are appended to the command
	// lines of the stand-ins.
	EngineFlags, PlainFlags, PlatformFlags []string
	// Configure, if set, modifies the first configuration before it is put.
	Configure func(*config.Config)
	// LinkAgents puts a Link in front of every agent, LinkTargets one between
	// every agent and its target.
	LinkAgents, LinkTargets bool
	// Group makes the engines the ranks of one expert-parallel group.
	Group bool
	// Unconfigured leaves the store empty.
	Unconfigured bool
	// Programs is the directory of the built programs; empty means to call
	// Build.
	Programs string
	// Dir is the directory of logs, settings and ledgers; empty means a
	// temporary one that Close removes.
	Dir string
}

func (s Shape) withDefaults() Shape {
	if s.Entries == 0 {
		s.Entries = 1
	}
	if s.ModelTargets+s.ServiceTargets == 0 {
		s.ModelTargets = 2
	}
	if len(s.Zones) == 0 {
		s.Zones = []string{"bole", "merkato", "kazanchis"}
	}
	if s.Model == "" {
		s.Model = "caption"
	}
	if s.Service == "" {
		s.Service = "job-desk"
	}
	if len(s.Workspaces) == 0 {
		s.Workspaces = []string{"harbor-home", "birch-home"}
	}
	return s
}

// The host numbers within a block and the ports on them.
const (
	platformHost = 250
	entryHost    = 0
	targetHost   = 100

	portPlatform     = 9000
	portCallers      = 8080
	portAdmin        = 8081
	portEntryObserve = 8082
	portPeers        = 7000
	portAgentObserve = 7001
	portAgentLink    = 7500
	portTarget       = 9100
	portRank         = 9101
	portTargetLink   = 9500
)

// AdminToken is the token of the deployment's administrator.
const AdminToken = "deployment-admin-token"

func (s Shape) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", s.Block, host, port)
}

func (s Shape) zone(n int) string { return s.Zones[n%len(s.Zones)] }

func (s Shape) targets() int { return s.ModelTargets + s.ServiceTargets }

// peerAddress returns the address at which peers reach agent n: its link if
// there is one.
func (s Shape) peerAddress(n int) string {
	if s.LinkAgents {
		return s.address(targetHost+n, portAgentLink)
	}
	return s.address(targetHost+n, portPeers)
}

func (s Shape) seeds() string {
	var list []string
	for n := 1; n <= min(3, s.targets()); n++ {
		list = append(list, s.peerAddress(n))
	}
	return strings.Join(list, ", ")
}

func token(workspace string) string { return workspace + "-token" }

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Config returns the configuration that Start puts in force.
func (s Shape) Config() config.Config {
	s = s.withDefaults()
	c := config.Config{
		Models: []config.Model{{Name: s.Model}},
		Services: []config.Service{{Name: s.Service, Routes: []config.Route{
			{Method: "POST", Prefix: "/jobs", MayNotRepeat: true},
			{Method: "POST", Prefix: "/bookings", MayNotRepeat: true},
			{Method: "POST", Prefix: "/pings"},
		}}},
		Operators: []config.Operator{{Name: "deployment", Role: "admin", TokenHash: digest(AdminToken)}},
	}
	for _, ws := range s.Workspaces {
		c.Workspaces = append(c.Workspaces, config.Workspace{Name: ws, TokenHashes: []string{digest(token(ws))}, Share: 1})
	}
	for n := 1; n <= s.targets(); n++ {
		t := config.Target{Name: name(targetName, n), Zone: s.zone(n), Agent: s.peerAddress(n), HonoursFencing: true}
		if n <= s.ModelTargets {
			t.Model = s.Model
			if s.Group {
				t.Group = s.Model
			}
		} else {
			t.Service, t.HonoursFencing = s.Service, false
		}
		c.Targets = append(c.Targets, t)
	}
	if s.Group {
		c.Groups = []config.Group{{
			Name: s.Model, Model: s.Model, Ranks: s.ModelTargets,
			Layers: groupLayers, Experts: groupExperts, SlotsPerRank: s.rankSlots(), SkewWeight: 4, CostWeight: 1,
		}}
	}
	if s.Configure != nil {
		s.Configure(&c)
	}
	return c
}

// The dimensions of the group and the size of one expert in bytes.
const (
	groupLayers  = 2
	groupExperts = 16
	expertBytes  = "65536"
)

// rankSlots returns how many experts of a layer a rank holds: twice its even
// share.
func (s Shape) rankSlots() int { return (2*groupExperts + s.ModelTargets - 1) / s.ModelTargets }

// rankFlags returns the flags that make the engines ranks of the group. The
// loads of the experts drift fast, so that the map changes every few seconds.
func (s Shape) rankFlags() []string {
	var peers []string
	for n := 1; n <= s.ModelTargets; n++ {
		peers = append(peers, name(targetName, n)+"="+s.address(targetHost+n, portRank))
	}
	return []string{
		"-group", s.Model, "-group-peers", strings.Join(peers, ","), "-model", s.Model,
		"-weights", s.address(platformHost, portPlatform), "-experts", strconv.Itoa(groupExperts),
		"-expert-slots", strconv.Itoa(s.rankSlots()), "-rank-step", "5ms", "-drift-period", "8s", "-drift-depth", "1.2",
	}
}

func (s Shape) entry(n int) Settings {
	v := Settings{
		"node.name": name(entryName, n), "node.zone": s.zone(n),
		"listen.callers":   s.address(entryHost+n, portCallers),
		"listen.operators": s.address(entryHost+n, portAdmin),
		"listen.observe":   s.address(entryHost+n, portEntryObserve),
		"store.addresses":  s.address(platformHost, portPlatform), "instances.address": s.address(platformHost, portPlatform),
		"peers.seeds": s.seeds(), "operators.bootstrap-token-hash": digest(AdminToken),
		"drain.notice": "200ms", "drain.bound": "5s",
	}
	maps.Copy(v, s.EntrySettings)
	return v
}

func (s Shape) agent(n int) Settings {
	kind, target := "model", s.address(targetHost+n, portTarget)
	if n > s.ModelTargets {
		kind = "service"
	}
	if s.LinkTargets {
		target = s.address(targetHost+n, portTargetLink)
	}
	v := Settings{
		"node.name": name(targetName, n), "node.zone": s.zone(n),
		"listen.peers": s.address(targetHost+n, portPeers), "listen.observe": s.address(targetHost+n, portAgentObserve),
		"target.address": target, "target.kind": kind,
		"store.addresses": s.address(platformHost, portPlatform), "peers.seeds": s.seeds(), "drain.bound": "5s",
	}
	if s.Group {
		maps.Copy(v, Settings{
			"group.beat": "200ms", "group.silence": "2s", "group.plan-interval": "1s", "group.expert-size": expertBytes,
		})
	}
	maps.Copy(v, s.AgentSettings)
	return v
}

// file returns the settings as an INI file.
func (s Settings) file() string {
	sections := make(map[string][]string)
	for _, key := range slices.Sorted(maps.Keys(s)) {
		section, k, _ := strings.Cut(key, ".")
		sections[section] = append(sections[section], k+" = "+s[key])
	}
	var b strings.Builder
	for _, section := range slices.Sorted(maps.Keys(sections)) {
		fmt.Fprintf(&b, "[%s]\n%s\n", section, strings.Join(sections[section], "\n"))
	}
	return b.String()
}
