package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"path"
	"strings"
)

// DigestSize is the size of a token's digest in bytes.
const DigestSize = sha256.Size

// Digest is the SHA-256 digest of a token.
type Digest [DigestSize]byte

// HashToken returns the digest of a token, in the hex form that the
// configuration holds.
func HashToken(token string) string {
	d := sha256.Sum256([]byte(token))
	return hex.EncodeToString(d[:])
}

// MatchesHash reports whether token has the given digest in hex. It takes the
// same time for any token of one length.
func MatchesHash(token, hash string) bool {
	want, err := hex.DecodeString(hash)
	got := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(got[:], want) == 1 && err == nil
}

// Index answers the lookups of the request path for one configuration. It is
// immutable and safe for concurrent use; its results must not be changed.
type Index struct {
	cfg               Config
	workspaceByDigest map[Digest]int
	operatorByDigest  map[Digest]int
	targetByName      map[string]int
	modelByName       map[string]int
	serviceByName     map[string]int
	groupByName       map[string]int
	workspaceByName   map[string]int
	ofModel           map[string][]*Target
	ofService         map[string][]*Target
	ofGroup           map[string][]*Target
}

// NewIndex returns the index of c, which must be valid.
func NewIndex(c Config) *Index {
	x := &Index{
		cfg: c, workspaceByDigest: map[Digest]int{}, operatorByDigest: map[Digest]int{},
		targetByName: positions(c.Targets), modelByName: positions(c.Models), serviceByName: positions(c.Services),
		groupByName: positions(c.Groups), workspaceByName: positions(c.Workspaces),
		ofModel: map[string][]*Target{}, ofService: map[string][]*Target{}, ofGroup: map[string][]*Target{},
	}
	for i, w := range c.Workspaces {
		for _, h := range w.TokenHashes {
			addDigest(x.workspaceByDigest, h, i)
		}
	}
	for i, o := range c.Operators {
		addDigest(x.operatorByDigest, o.TokenHash, i)
	}
	for i := range c.Targets {
		t := &c.Targets[i]
		addTarget(x.ofModel, t.Model, t)
		addTarget(x.ofService, t.Service, t)
		addTarget(x.ofGroup, t.Group, t)
	}
	return x
}

func positions[T named](list []T) map[string]int {
	m := make(map[string]int, len(list))
	for i, v := range list {
		m[v.name()] = i
	}
	return m
}

func addDigest(m map[Digest]int, hash string, i int) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != DigestSize {
		return
	}
	m[Digest(raw)] = i
}

func addTarget(m map[string][]*Target, key string, t *Target) {
	if key != "" {
		m[key] = append(m[key], t)
	}
}

// Config returns the configuration of the index.
func (x *Index) Config() Config { return x.cfg }

// Revision returns the configuration's revision.
func (x *Index) Revision() uint64 { return x.cfg.Revision }

// WorkspaceByToken returns the workspace that a caller's token belongs to.
func (x *Index) WorkspaceByToken(token string) (*Workspace, bool) {
	i, ok := lookup(x.workspaceByDigest, token)
	if !ok {
		return nil, false
	}
	return &x.cfg.Workspaces[i], true
}

// OperatorByToken returns the operator that a token belongs to.
func (x *Index) OperatorByToken(token string) (*Operator, bool) {
	i, ok := lookup(x.operatorByDigest, token)
	if !ok {
		return nil, false
	}
	return &x.cfg.Operators[i], true
}

// lookup finds a token by its digest. The time of a map lookup depends on the
// digest only, which nobody can choose close to a known one without inverting
// SHA-256, so the time reveals nothing about how near a guess is. The final
// comparison is in constant time and is also made when nothing was found, so
// that a known and an unknown token take the same steps.
func lookup(m map[Digest]int, token string) (int, bool) {
	got := Digest(sha256.Sum256([]byte(token)))
	i, found := m[got]
	var want Digest
	if found {
		want = got
	}
	same := subtle.ConstantTimeCompare(got[:], want[:]) == 1
	return i, found && same && token != ""
}

// Workspace returns a workspace by its name.
func (x *Index) Workspace(name string) (*Workspace, bool) {
	return at(x.workspaceByName, x.cfg.Workspaces, name)
}

// Target returns a target by its name.
func (x *Index) Target(name string) (*Target, bool) { return at(x.targetByName, x.cfg.Targets, name) }

// Model returns a model by its name.
func (x *Index) Model(name string) (*Model, bool) { return at(x.modelByName, x.cfg.Models, name) }

// Service returns a plain service by its name.
func (x *Index) Service(name string) (*Service, bool) {
	return at(x.serviceByName, x.cfg.Services, name)
}

// Group returns a group by its name.
func (x *Index) Group(name string) (*Group, bool) { return at(x.groupByName, x.cfg.Groups, name) }

func at[T any](m map[string]int, list []T, name string) (*T, bool) {
	i, ok := m[name]
	if !ok {
		return nil, false
	}
	return &list[i], true
}

// TargetsOfModel returns the targets that serve a model, drained ones too.
func (x *Index) TargetsOfModel(model string) []*Target { return x.ofModel[model] }

// TargetsOfService returns the targets of a plain service, drained ones too.
func (x *Index) TargetsOfService(service string) []*Target { return x.ofService[service] }

// TargetsOfGroup returns the targets of a group, drained ones too.
func (x *Index) TargetsOfGroup(group string) []*Target { return x.ofGroup[group] }

// MayNotRepeat reports whether a call of a plain service runs at most once.
// The route with the longest matching prefix decides; of two with equal
// prefixes, the one that names the method. Where no route matches, a call may be
// repeated only if its method is idempotent by RFC 9110, section 9.2.2.
func (x *Index) MayNotRepeat(service, method, urlPath string) bool {
	s, ok := x.Service(service)
	if !ok {
		return true
	}
	// Without cleaning, a caller could bypass a route for /bookings by requesting
	// /x/../bookings or //bookings, which many services treat as the same path.
	if !strings.HasPrefix(urlPath, "/") {
		urlPath = "/" + urlPath
	}
	clean := path.Clean(urlPath)
	var best *Route
	for i := range s.Routes {
		r := &s.Routes[i]
		if matches(r, method, clean) && moreSpecific(r, best) {
			best = r
		}
	}
	if best != nil {
		return best.MayNotRepeat
	}
	return !idempotent(method)
}

func matches(r *Route, method, clean string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	return r.Prefix == "/" || clean == r.Prefix || strings.HasPrefix(clean, r.Prefix+"/")
}

func moreSpecific(r, best *Route) bool {
	if best == nil || len(r.Prefix) != len(best.Prefix) {
		return best == nil || len(r.Prefix) > len(best.Prefix)
	}
	return r.Method != "" && best.Method == ""
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}
