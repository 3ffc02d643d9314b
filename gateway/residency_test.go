package main

import (
	"net/http"
	"testing"

	"verbenashift/core/configuration/deployment"
	"verbenashift/standin/scripted"
)

// bind binds the route and the workspace of the rig to regions.
func (r *rig) bind(route, workspace []string) {
	cfg := *r.view.Config
	cfg.Version++
	cfg.Routes[0].Regions, cfg.Workspaces[0].Regions = route, workspace
	r.view.Config = &cfg
	r.gateway.update(&r.view)
}

// Guards against a request, or one of its attempts, that leaves the regions in which its route and its
// workspace must stay.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, tt := range map[string]struct {
		route, workspace []string
		// sent says which of the targets in the regions a, b and c may get requests.
		sent [3]bool
	}{
		"not bound":               {nil, nil, [3]bool{true, true, true}},
		"the route":               {[]string{"a"}, nil, [3]bool{true, false, false}},
		"the workspace":           {nil, []string{"b", "c"}, [3]bool{false, true, true}},
		"both":                    {[]string{"a", "b"}, []string{"b", "c"}, [3]bool{false, true, false}},
		"both, nothing in common": {[]string{"a"}, []string{"b"}, [3]bool{}},
		"a region without zones":  {[]string{"d"}, nil, [3]bool{}},
	} {
		for _, kind := range []deployment.RouteKind{deployment.Safe, deployment.Unsafe, deployment.Stream} {
			t.Run(name+", "+string(kind), func(t *testing.T) {
				refuse := func(x *scripted.Exchange) { x.Refuse() } // so that all that may are tried
				servers := []*scripted.Server{scripted.Serve(t, refuse), scripted.Serve(t, refuse), scripted.Serve(t, refuse)}
				r := newRig(t, routeOf(kind), servers...)
				r.gateway.fleet.regions = map[string]string{"a1": "a", "b1": "b", "c1": "c"}
				r.inZones("a1", "b1", "c1")
				r.bind(tt.route, tt.workspace)
				for range 4 {
					_, got := r.send()
					r.Equal(got.Status, http.StatusServiceUnavailable)
					r.True(got.RetryAfter() > 0 || tt.sent != [3]bool{})
				}
				for i, s := range servers {
					r.Equal(total(s) > 0, tt.sent[i])
				}
			})
		}
	}
}

// Guards against a last resort outside the allowed regions: when the only targets there fail or are in
// evacuated zones.
func TestNoLastResortOutsideTheRegions(t *testing.T) {
	fails := scripted.Serve(t, func(x *scripted.Exchange) { x.Close() })
	works := scripted.Serve(t, func(x *scripted.Exchange) { x.Respond(200, "ok") })
	r := newRig(t, routeOf(deployment.Safe), fails, works)
	r.gateway.fleet.regions = map[string]string{"a1": "a", "b1": "b"}
	r.inZones("a1", "b1")
	r.bind([]string{"a"}, nil)
	for range 8 { // until it is ejected
		_, got := r.send()
		r.True(got.Status != 200)
	}
	r.evacuate("a1")
	_, got := r.send()
	r.Equal(got.Status, http.StatusServiceUnavailable)
	r.True(got.RetryAfter() > 0)
	r.Equal(total(works), 0)
}
