package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	contact = 3 * time.Second // contactMs
	drain   = 2 * time.Second // drainMs
	// cutFor is how long a gateway is cut from the store, as in the site file.
	cutFor = 5500 * time.Millisecond
	// lingers is how long a server serves beyond drain after its entry was removed.
	lingers = 750 * time.Millisecond
	// slack is what the check allows for the clocks of this process.
	slack = 50 * time.Millisecond
	// jobMs is how long a job runs.
	jobMs = 60
	// rounds is how many servers leave.
	rounds = 10
)

// job is one request of the kind unsafe.
type job struct {
	id      string
	server  *server
	sentAt  time.Time
	gateway *gateway
	late    time.Duration
	result  result
}

// leaving is what is known of a server whose entry was removed.
type leavingState struct {
	removedAt time.Time
	// calm is from when the cut gateway is in touch.
	calm time.Time
}

// leavingServer cuts one gateway from the store for a while. Shortly after the cut has healed a server
// leaves: its entry is removed, and it serves on for drainMs and a little longer.
func leavingServer(p *play) bool {
	storeAddr := fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))
	st, err := startStore(storeAddr)
	if err != nil {
		panic(&notRunError{err.Error()})
	}
	linkAddr := fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))
	cutLink, err := startLink(linkAddr, storeAddr)
	if err != nil {
		panic(&notRunError{err.Error()})
	}
	const service, host, path = "desk", "desk.example", "/jobs/"
	var mu sync.Mutex
	jobs := map[string]*job{}
	left := map[string]leavingState{}
	next := 0
	newServer := func() *server {
		next++
		s := startServer(fmt.Sprintf("i-%d", next), service, "127.0.0.1:0")
		s.arrived = func(s *server, r *http.Request, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			j := jobs[r.Header.Get("X-Request-Id")]
			j.server = s
			p.line("%s runs %s", s.id, j.id)
			if l, gone := left[s.id]; gone && at.Sub(l.removedAt) > drain+slack && j.sentAt.After(l.calm.Add(slack)) {
				j.late = at.Sub(l.removedAt)
				p.line("LATE: job %s, sent to %s at %s, reaches %s, whose entry was removed %d ms ago", j.id, j.gateway.name, p.at(j.sentAt), s.id, j.late.Milliseconds())
			}
		}
		go s.serve()
		st.put("servers/"+s.id, s.entry("ready"))
		p.line("server %s at %s is ready", s.id, s.addr)
		return s
	}
	servers := []*server{newServer(), newServer(), newServer()}
	st.put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "job", "host": host, "prefix": path, "kind": "unsafe", "timeoutMs": 600, "sloMs": 100, "priority": 0,
			"backend": service, "maxAttempts": 2, "public": true,
		}},
		"backends": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 100}},
		"tenants":  []any{},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 2000, "idleTimeoutMs": 10000},
	})
	p.gateways = []*gateway{newGateway(p.dir, "front-1", "127.0.0.1", linkAddr, true), newGateway(p.dir, "front-2", "127.0.0.1", storeAddr, true)}
	for _, g := range p.gateways {
		g.start(p.dir)
		g.awaitReady()
	}
	time.Sleep(contact)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for k, g := range p.gateways {
		wg.Go(func() {
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				j := &job{id: fmt.Sprintf("%d-%d", k+1, n), gateway: g, sentAt: time.Now()}
				mu.Lock()
				jobs[j.id] = j
				mu.Unlock()
				p.line("%s is sent %s", g.name, j.id)
				wg.Go(func() {
					r := send(g.front, request{
						method: http.MethodPost, host: host, path: path, id: j.id, deadline: 600 * time.Millisecond,
						headers: fmt.Sprintf("%s: %d\r\n", workHeader, jobMs), body: "x",
					})
					mu.Lock()
					defer mu.Unlock()
					j.result = r
					p.line("%s is answered %d by %s", j.id, r.status, g.name)
				})
			}
		})
	}
	for n := range rounds {
		healed := time.Now().Add(-contact)
		if p.trouble {
			p.line("front-1 is cut from the store")
			cutLink.cut()
			time.Sleep(cutFor)
			cutLink.heal()
			healed = time.Now()
			p.line("the cut has healed")
		}
		time.Sleep(250 * time.Millisecond)
		s := servers[n%len(servers)]
		servers[n%len(servers)] = newServer()
		time.Sleep(250 * time.Millisecond)
		mu.Lock()
		st.remove("servers/" + s.id)
		left[s.id] = leavingState{removedAt: time.Now(), calm: healed.Add(contact)}
		mu.Unlock()
		s.leave()
		p.line("the entry of %s is removed", s.id)
		time.Sleep(drain + lingers)
		s.stop()
		p.line("%s ends", s.id)
		time.Sleep(time.Until(healed.Add(contact + time.Second)))
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, lost, answers := 0, 0, map[int]int{}
	for _, j := range jobs {
		answers[j.result.status]++
		if j.late > 0 {
			late++
			if j.result.status != http.StatusOK {
				lost++
				p.line("LOST: job %s was run by %s and answered %d", j.id, j.server.id, j.result.status)
			}
		}
	}
	p.line("jobs %d, answers by status %v, sent to a server more than %v after its entry was removed by a gateway in touch: %d, of these without their answer: %d",
		len(jobs), answers, drain, late, lost)
	return late > 0
}
