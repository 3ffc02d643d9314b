package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"path"
	"regexp"
	"slices"
	"strings"
)

// The roles of operators; each includes the permissions of the ones before it.
const (
	RoleViewer   = "viewer"
	RoleOperator = "operator"
	RoleAdmin    = "admin"
)

// The roles of targets; empty stands for both.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Bounds of single fields.
const (
	maxWeight  = 1e6
	maxRate    = 1e9
	maxStreams = 1 << 20
	maxRanks   = 1 << 16
	maxTokens  = 16
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const wantName = "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"

// ValidName reports whether name is a valid name of a workspace, model, service,
// target, group, operator or intent.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate checks every field of c and the references between them. Its error
// is an *InvalidError for the first invalid field.
func Validate(c Config) error {
	v := &validator{
		workspaces: names(c.Workspaces), models: names(c.Models),
		services: names(c.Services), groups: names(c.Groups),
		hashes: map[string]string{}, agents: map[string]string{},
	}
	v.modelOf = map[string]string{}
	for _, g := range c.Groups {
		v.modelOf[g.Name] = g.Model
	}
	each(v, "workspaces", c.Workspaces, v.workspace)
	each(v, "models", c.Models, v.model)
	each(v, "services", c.Services, v.service)
	each(v, "groups", c.Groups, v.group)
	each(v, "targets", c.Targets, v.target)
	each(v, "operators", c.Operators, v.operator)
	v.evacuatedZones(c.EvacuatedZones)
	if v.err == nil {
		return nil
	}
	return v.err
}

// evacuatedZones checks that the list is sorted and has each zone once, as lookups require.
func (v *validator) evacuatedZones(zones []string) {
	for i, zone := range zones {
		v.check(zone != "" && (i == 0 || zones[i-1] < zone), "evacuated-zones", zone, "distinct names in ascending order")
	}
}

func names[T named](list []T) map[string]bool {
	set := make(map[string]bool, len(list))
	for _, item := range list {
		set[item.name()] = true
	}
	return set
}

// validator records the first invalid field.
type validator struct {
	err                                  *InvalidError
	workspaces, models, services, groups map[string]bool
	modelOf                              map[string]string
	hashes                               map[string]string
	agents                               map[string]string
}

func (v *validator) check(ok bool, field string, value any, want string) {
	if ok || v.err != nil {
		return
	}
	v.err = &InvalidError{Field: field, Value: fmt.Sprint(value), Want: want}
}

// each checks the names of a list, and calls item for each element.
func each[T named](v *validator, list string, items []T, item func(at string, t T)) {
	seen := make(map[string]bool, len(items))
	for i, t := range items {
		n := t.name()
		v.check(namePattern.MatchString(n), fmt.Sprintf("%s[%d].name", list, i), n, wantName)
		v.check(!seen[n], fmt.Sprintf("%s[%d].name", list, i), n, "a name used once")
		seen[n] = true
		item(fmt.Sprintf("%s[%s]", list, n), t)
	}
}

func (v *validator) workspace(at string, w Workspace) {
	v.check(len(w.TokenHashes) <= maxTokens, at+".token-hashes", len(w.TokenHashes), fmt.Sprintf("at most %d digests", maxTokens))
	for _, h := range w.TokenHashes {
		v.hash(at+".token-hashes", h)
	}
	v.number(at+".share", w.Share, maxWeight)
	v.number(at+".tokens-per-second", w.TokensPerSecond, maxRate)
	v.number(at+".requests-per-second", w.RequestsPerSecond, maxRate)
	v.check(w.MaxStreams >= 0 && w.MaxStreams <= maxStreams, at+".max-streams", w.MaxStreams, fmt.Sprintf("0 to %d", maxStreams))
	v.optionalName(at+".region", w.Region)
}

func (v *validator) model(at string, m Model) {
	v.optionalName(at+".version", m.Version)
	for i, a := range m.Adapters {
		field := fmt.Sprintf("%s.adapters[%d]", at, i)
		v.check(namePattern.MatchString(a), field, a, wantName)
		v.check(slices.Index(m.Adapters, a) == i, field, a, "a name used once")
	}
}

func (v *validator) service(at string, s Service) {
	for i, r := range s.Routes {
		field := fmt.Sprintf("%s.routes[%d]", at, i)
		v.check(r.Method == "" || knownMethod(r.Method), field+".method", r.Method, "an HTTP method in capitals, or none for any")
		v.check(strings.HasPrefix(r.Prefix, "/") && path.Clean(r.Prefix) == r.Prefix, field+".prefix", r.Prefix,
			"a clean path that begins with a slash")
		first := slices.IndexFunc(s.Routes, func(o Route) bool { return o.Method == r.Method && o.Prefix == r.Prefix })
		v.check(first == i, field+".prefix", r.Prefix, "one route for a method and prefix")
	}
}

func (v *validator) group(at string, g Group) {
	v.check(v.models[g.Model], at+".model", g.Model, "the name of a model")
	v.count(at+".ranks", g.Ranks)
	v.count(at+".layers", g.Layers)
	v.count(at+".experts", g.Experts)
	v.count(at+".slots-per-rank", g.SlotsPerRank)
	v.check(g.Ranks*g.SlotsPerRank >= g.Experts, at+".slots-per-rank", g.SlotsPerRank,
		"room on all ranks for each expert of a layer")
	v.number(at+".skew-weight", g.SkewWeight, maxWeight)
	v.number(at+".cost-weight", g.CostWeight, maxWeight)
}

func (v *validator) target(at string, t Target) {
	v.optionalName(at+".region", t.Region)
	v.check(namePattern.MatchString(t.Zone), at+".zone", t.Zone, wantName)
	addr, err := netip.ParseAddrPort(t.Agent)
	v.check(err == nil && addr.Port() != 0, at+".agent", t.Agent, "an IP number and port")
	v.check(v.agents[t.Agent] == "", at+".agent", t.Agent, "an agent that no other target has")
	v.agents[t.Agent] = t.Name
	v.check((t.Model == "") != (t.Service == ""), at+".model", t.Model, "either a model or a service")
	v.check(t.Model == "" || v.models[t.Model], at+".model", t.Model, "the name of a model")
	v.check(t.Service == "" || v.services[t.Service], at+".service", t.Service, "the name of a service")
	v.optionalName(at+".version", t.Version)
	v.check(t.Group == "" || v.groups[t.Group], at+".group", t.Group, "the name of a group")
	v.check(t.Group == "" || v.modelOf[t.Group] == t.Model, at+".group", t.Group, "a group of the target's model")
	v.check(slices.Contains([]string{"", RolePrefill, RoleDecode}, t.Role), at+".role", t.Role, "prefill, decode or none")
}

func (v *validator) operator(at string, o Operator) {
	v.check(roleRank(o.Role) > 0, at+".role", o.Role, "viewer, operator or admin")
	v.hash(at+".token-hash", o.TokenHash)
}

// hash checks a digest. A digest used twice would make one token valid for two
// workspaces, so that one could read the other's responses.
func (v *validator) hash(field, h string) {
	raw, err := hex.DecodeString(h)
	v.check(err == nil && len(raw) == DigestSize && strings.ToLower(h) == h, field, mask(h), "a SHA-256 digest in lower-case hex")
	v.check(v.hashes[h] == "", field, mask(h), "a digest used once")
	v.hashes[h] = field
}

func (v *validator) number(field string, x, limit float64) {
	v.check(!math.IsNaN(x) && x >= 0 && x <= limit, field, x, fmt.Sprintf("0 to %g", limit))
}

func (v *validator) count(field string, n int) {
	v.check(n >= 1 && n <= maxRanks, field, n, fmt.Sprintf("1 to %d", maxRanks))
}

func (v *validator) optionalName(field, name string) {
	v.check(name == "" || namePattern.MatchString(name), field, name, wantName)
}

func knownMethod(m string) bool {
	return slices.Contains([]string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}, m)
}

func roleRank(role string) int {
	return slices.Index([]string{"", RoleViewer, RoleOperator, RoleAdmin}, role)
}

// Allows reports whether an operator with the role have may do what requires
// the role need. An unknown or empty role has no permissions.
func Allows(have, need string) bool {
	return roleRank(have) > 0 && roleRank(need) > 0 && roleRank(have) >= roleRank(need)
}
