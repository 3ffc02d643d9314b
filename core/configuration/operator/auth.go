package operator

import (
	"net/http"
	"slices"
	"strings"

	"verbenashift/core/configuration/config"
)

// bootstrapName is the operator's name for requests with the bootstrap token.
const bootstrapName = "bootstrap"

// actor is the authenticated sender of a request.
type actor struct {
	name string
	role string
	// hash is the digest of the operator's token; empty for the bootstrap.
	hash string
}

func errUnauthenticated() error {
	return &Error{Status: http.StatusUnauthorized, Kind: KindUnauthenticated, Message: "missing or unknown token"}
}

func errForbidden(need string) error {
	return &Error{Status: http.StatusForbidden, Kind: KindForbidden, Message: "needs the role " + need}
}

// authenticate finds the operator of a request. A missing, a malformed and an
// unknown token take the same steps to the same response, so that neither its
// text nor its time reveals how near a guess was.
func (a *api) authenticate(r *http.Request) (actor, error) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	x := a.index()
	op, known := x.OperatorByToken(token)
	bootstrap := config.MatchesHash(token, a.BootstrapHash) && token != ""
	if known {
		return actor{name: op.Name, role: op.Role, hash: op.TokenHash}, nil
	}
	if !bootstrap || len(x.Config().Operators) > 0 {
		return actor{}, errUnauthenticated()
	}
	return a.bootstrap(r)
}

// bootstrap accepts the bootstrap token only if the store's configuration has no
// operators either. A node that has just started, or is partitioned, knows no
// operators; without this check the token would remain valid there.
func (a *api) bootstrap(r *http.Request) (actor, error) {
	head, _, err := a.planner.Head.Read(r.Context())
	if err != nil {
		return actor{}, err
	}
	who := actor{name: bootstrapName, role: config.RoleAdmin}
	return who, who.allowedBy(head, config.RoleAdmin)
}

func (a actor) require(role string) error {
	if config.Allows(a.role, role) {
		return nil
	}
	return errForbidden(role)
}

// allowedBy checks the actor against the head of the configuration. The
// configuration of this node may be some seconds old: an operator whose token was
// revoked could otherwise still confirm a plan in that time.
func (a actor) allowedBy(head config.Config, role string) error {
	if a.hash == "" {
		if len(head.Operators) > 0 {
			return errUnauthenticated()
		}
		return nil
	}
	i := slices.IndexFunc(head.Operators, func(o config.Operator) bool { return o.Name == a.name && o.TokenHash == a.hash })
	if i < 0 {
		return errUnauthenticated()
	}
	if !config.Allows(head.Operators[i].Role, role) {
		return errForbidden(role)
	}
	return nil
}
