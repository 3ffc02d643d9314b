package main

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/configuration/deployment"
)

// Guards against another urgency for engines, or classes, where the routes of a service are alike, and
// against a class that does not follow the workspace's priority first.
func TestClassesOfAConfiguration(t *testing.T) {
	priority := func(n int) *int { return &n }
	to := func(services ...string) []deployment.Share {
		var split []deployment.Share
		for _, s := range services {
			split = append(split, deployment.Share{Service: s, Weight: 1})
		}
		return split
	}
	c := newCatalog(&deployment.Config{
		Version: 1,
		Routes: []deployment.Route{
			{Name: "draft", Priority: 0, Split: to("llm")},
			{Name: "summary", Priority: 2, Split: to("llm", "other")},
			{Name: "lookup", Priority: 7, Split: to("alike")},
			{Name: "read", Priority: 7, Split: to("alike"), Public: true},
			{Name: "broken", Priority: -3, Split: to("bad")},
			{Name: "broken too", Priority: 99, Split: to("bad")},
		},
		Workspaces: []deployment.Workspace{{Name: "plain"}, {Name: "first", Priority: priority(0)}, {Name: "wrong", Priority: priority(-1)}},
	})
	plain, first, wrong := &c.config.Workspaces[0], &c.config.Workspaces[1], &c.config.Workspaces[2]
	for _, tt := range []struct {
		service, route string
		workspace      *deployment.Workspace
		class, urgency int
	}{
		{"llm", "draft", plain, 0, 0},
		{"llm", "draft", first, 0, 0},
		{"llm", "summary", first, 1, 1},
		{"llm", "summary", plain, 2, 2},
		{"llm", "summary", wrong, 4, 4},
		{"other", "summary", plain, 0, 2},
		{"alike", "lookup", plain, 0, 7},
		{"alike", "lookup", first, 0, 0},
		{"alike", "read", nil, 0, 7},
		{"bad", "broken", plain, 0, 9},
		{"unknown", "draft", plain, 0, 0},
	} {
		t.Run(fmt.Sprintf("%s at %s by %v", tt.route, tt.service, tt.workspace), func(t *testing.T) {
			is := is.New(t)
			r := routeNamed(c, tt.route)
			is.Equal(c.class(tt.service, r, tt.workspace), tt.class)
			is.Equal(c.urgency(tt.service, r, tt.workspace), tt.urgency)
		})
	}
	is := is.New(t)
	is.Equal(c.orders["llm"].Classes(), 5)
	is.Equal(c.orders["alike"].Classes(), 1)
	is.Equal(c.orders["unknown"].Classes(), 1)
}

func routeNamed(c *catalog, name string) *deployment.Route {
	for i := range c.config.Routes {
		if c.config.Routes[i].Name == name {
			return &c.config.Routes[i]
		}
	}
	return nil
}
