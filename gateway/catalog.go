package main

import (
	"math/rand/v2"
	"strings"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/request/precedence"
)

// catalog indexes one configuration. It is immutable.
type catalog struct {
	config *deployment.Config
	// routes holds the routes by host.
	routes map[string][]*deployment.Route
	// workspaces holds the workspaces by key.
	workspaces map[string]*deployment.Workspace
	// orders ranks the requests of each service.
	orders map[string]precedence.Order
}

func newCatalog(cfg *deployment.Config) *catalog {
	c := &catalog{config: cfg, routes: map[string][]*deployment.Route{}, workspaces: map[string]*deployment.Workspace{}, orders: ordersOf(cfg)}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for i := range cfg.Workspaces {
		w := &cfg.Workspaces[i]
		for _, key := range w.Keys {
			c.workspaces[key] = w
		}
	}
	return c
}

// route returns the route of a host with the longest prefix of the path, or nil.
func (c *catalog) route(host, path string) *deployment.Route {
	var best *deployment.Route
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// workspace returns the workspace that holds a key. Ok is false if the key is
// needed and unknown.
func (c *catalog) workspace(r *deployment.Route, key string) (w *deployment.Workspace, ok bool) {
	if len(c.config.Workspaces) == 0 {
		return nil, true
	}
	w = c.workspaces[key]
	return w, w != nil || r.Public
}

// service picks one of the services of a route at random, by weight.
func service(r *deployment.Route, rng *rand.Rand) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	if total <= 0 {
		return r.Split[0].Service
	}
	n := rng.IntN(total)
	for _, s := range r.Split {
		n -= max(s.Weight, 0)
		if n < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}

// urgency returns the priority that engines get with a request; 0 is the highest. Where the
// requests of the service are ranked in classes, it is their class. Otherwise the priority of the
// workspace overrides that of the route.
func (c *catalog) urgency(service string, r *deployment.Route, w *deployment.Workspace) int {
	if o := c.orders[service]; o.Classes() > 1 {
		return o.Class(r.Priority, priorityOf(w))
	}
	if p := priorityOf(w); p != nil {
		return precedence.InRange(*p)
	}
	return precedence.InRange(r.Priority)
}

// class returns the class of a request among those of its service.
func (c *catalog) class(service string, r *deployment.Route, w *deployment.Workspace) int {
	return c.orders[service].Class(r.Priority, priorityOf(w))
}

// priorityOf returns the priority of a workspace, or nil if there is none.
func priorityOf(w *deployment.Workspace) *int {
	if w == nil {
		return nil
	}
	return w.Priority
}

// invalidPriorities returns the names of the routes and of the workspaces whose priority is out of
// range, up to a limit of each, and how many there are in all.
func invalidPriorities(cfg *deployment.Config, limit int) (routes, workspaces []string, n int) {
	for i := range cfg.Routes {
		if r := &cfg.Routes[i]; !precedence.Valid(r.Priority) {
			n++
			routes = appendUpTo(routes, r.Name, limit)
		}
	}
	for i := range cfg.Workspaces {
		w := &cfg.Workspaces[i]
		if p := priorityOf(w); p != nil && !precedence.Valid(*p) {
			n++
			workspaces = appendUpTo(workspaces, w.Name, limit)
		}
	}
	return routes, workspaces, n
}

// appendUpTo appends a name unless the list has limit of them.
func appendUpTo(list []string, name string, limit int) []string {
	if len(list) >= limit {
		return list
	}
	return append(list, name)
}

// ordersOf returns the order of the requests of each service.
func ordersOf(cfg *deployment.Config) map[string]precedence.Order {
	var workspaces []*int
	for i := range cfg.Workspaces {
		workspaces = append(workspaces, cfg.Workspaces[i].Priority)
	}
	routes := map[string][]int{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		for _, s := range r.Split {
			routes[s.Service] = append(routes[s.Service], r.Priority)
		}
		if r.Public {
			workspaces = append(workspaces, nil)
		}
	}
	orders := map[string]precedence.Order{}
	for service, priorities := range routes {
		orders[service] = precedence.New(priorities, workspaces)
	}
	return orders
}
