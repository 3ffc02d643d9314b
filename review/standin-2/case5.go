package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// apply is configApplyMs.
	apply = 2 * time.Second
	// greyShare is the share of the requests that the grey server fails, and greyFor for how long, within
	// the figures of the site file. A service has seven servers: one is a share of 0.14.
	greyShare = 0.45
	greyFor   = 2 * time.Second
	// silences is how often connections go silent.
	silences = 12
)

// lookup is one request.
type lookup struct {
	id     string
	sentAt time.Time
	// server has run it, if any has.
	server *server
}

// silentConnections makes the open connections to the store go silent, without a reset, while new ones
// work. Right after that the configuration moves the route to another service.
func silentConnections(p *play) bool {
	storeAddr := fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))
	st, err := startStore(storeAddr)
	if err != nil {
		panic(&notRunError{err.Error()})
	}
	linkAddr := fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))
	storeLink, err := startLink(linkAddr, storeAddr)
	if err != nil {
		panic(&notRunError{err.Error()})
	}
	const host, path = "desk.example", "/files/"
	var mu sync.Mutex
	lookups := map[string]*lookup{}
	services := [2]string{"old-desk", "new-desk"}
	var servers [2][]*server
	for k, service := range services {
		for n := range 7 {
			s := startServer(fmt.Sprintf("i-%s-%d", service, n+1), service, "127.0.0.1:0")
			s.arrived = func(s *server, r *http.Request, _ time.Time) {
				mu.Lock()
				defer mu.Unlock()
				l := lookups[r.Header.Get("X-Request-Id")]
				l.server = s
				p.line("%s runs %s", s.id, l.id)
			}
			go s.serve()
			st.put("servers/"+s.id, s.entry("ready"))
			servers[k] = append(servers[k], s)
		}
	}
	// configure writes the next version, which moves the route to the other service.
	version := 0
	configure := func() time.Time {
		version++
		service := services[version%2]
		backends := []any{}
		for _, name := range services {
			backends = append(backends, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 100})
		}
		st.put("op/config", map[string]any{
			"version": version,
			"routes": []any{map[string]any{
				"name": "lookup", "host": host, "prefix": path, "kind": "safe", "timeoutMs": 600, "sloMs": 100, "priority": 0,
				"backend": service, "maxAttempts": 2, "public": true,
			}},
			"backends": backends,
			"tenants":  []any{},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 2000, "idleTimeoutMs": 10000},
		})
		p.line("version %d is acknowledged: the route goes to %s", version, service)
		return time.Now()
	}
	configure()
	p.gateways = []*gateway{newGateway(p.dir, "front-1", "127.0.0.1", linkAddr, true), newGateway(p.dir, "front-2", "127.0.0.1", linkAddr, true)}
	for _, g := range p.gateways {
		g.start(p.dir)
		g.awaitReady()
	}
	time.Sleep(contact)

	sent := 0
	// ask sends requests to all gateways for a time, each 20 ms.
	ask := func(until time.Time, wg *sync.WaitGroup) (asked []*lookup) {
		for time.Now().Before(until) {
			for _, g := range p.gateways {
				mu.Lock()
				sent++
				l := &lookup{id: fmt.Sprintf("q-%d", sent), sentAt: time.Now()}
				lookups[l.id] = l
				mu.Unlock()
				asked = append(asked, l)
				wg.Go(func() {
					p.line("%s is sent %s", g.name, l.id)
					r := send(g.front, request{
						method: http.MethodGet, host: host, path: path, id: l.id, deadline: 600 * time.Millisecond,
						headers: fmt.Sprintf("%s: 15\r\n", workHeader),
					})
					p.line("%s is answered %d by %s", l.id, r.status, g.name)
				})
			}
			time.Sleep(20 * time.Millisecond)
		}
		return asked
	}
	broken := 0
	for n := range silences {
		var wg sync.WaitGroup
		grey := servers[version%2][n%7]
		if p.trouble {
			grey.fail(greyShare)
		}
		ask(time.Now().Add(greyFor), &wg)
		grey.fail(0)
		ask(time.Now().Add(500*time.Millisecond+rand.N(2*time.Second)), &wg)
		silent := time.Now()
		if p.trouble {
			storeLink.silence()
			p.line("the open connections to the store go silent")
		} else {
			silent = silent.Add(-contact)
		}
		acknowledged := configure()
		bound := acknowledged.Add(apply)
		if calm := silent.Add(contact); calm.After(bound) {
			bound = calm
		}
		ask(bound.Add(slack), &wg)
		late := ask(bound.Add(time.Second), &wg)
		wg.Wait()
		mu.Lock()
		for _, l := range late {
			if l.server != nil && l.server.service != services[version%2] {
				broken++
				p.line("LATE: %s, sent at %s, was run by %s of the old service: the route was moved %d ms before", l.id, p.at(l.sentAt), l.server.id, l.sentAt.Sub(acknowledged).Milliseconds())
			}
		}
		mu.Unlock()
	}
	p.line("requests %d; run by the old service %v after the acknowledgement or later, by gateways in touch: %d", sent, apply, broken)
	return broken > 0
}
