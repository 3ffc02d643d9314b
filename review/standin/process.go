package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"time"
)

// The figures of a front machine of the lightbox-coop sheet.
const (
	frontMemoryMb = 284
	frontFds      = 4200
	graceS        = 8
)

// The names that the configuration of all cases uses.
const (
	routeHost         = "ficu95.example"
	tenant            = "hule930"
	apiKey            = "n2ctnfzs989anu6wsjnb"
	bookingService    = "booking-app"
	newBookingService = "booking-app-b"
	lookupPrefix      = "/lookup/"
	holdPrefix        = "/hold/"
	visitPrefix       = "/visits/"
	draftPrefix       = "/draft/"
	// order is the body of an unsafe request.
	order = "chapel slot, Saturday 10:00"
)

// site is one deployment on loopback addresses of its own.
type site struct {
	dir     string
	network string
	store   *store
	addr    string
	version int64
	servers []*server
	fronts  []*front
	sides   []*side
}

// newSite starts a store on a free loopback network.
func newSite() (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, store: newStore(), version: 4}
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", s.network+"1:0")
		if err != nil {
			continue
		}
		s.addr = l.Addr().String()
		go func() { _ = http.Serve(l, s.store) }()
		return s, nil
	}
	return nil, errors.New("no free loopback address")
}

// configuration is what the operator writes, apart from what no case changes.
type configuration struct {
	// holdService is the service of the route slot-hold.
	holdService string
	// dropped lists the routes that are left out.
	dropped []string
	// timeoutMs is that of the plain routes; 0 means the sheet's.
	timeoutMs int
}

// plainTimeoutMs is timeoutMs of the plain routes in the sheet.
const plainTimeoutMs = 2000

// configure writes the next version of the operator's configuration, and returns when the store has
// acknowledged it.
func (s *site) configure(c configuration) time.Time {
	s.version += 3
	route := func(name, prefix, kind, backend string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "prefix": prefix, "kind": kind, "backend": backend, "timeoutMs": cmp.Or(c.timeoutMs, plainTimeoutMs),
			"sloMs": 300, "priority": 2, "maxAttempts": attempts,
		}
	}
	draft := route("plan-draft", draftPrefix, "stream", engineService, 2)
	draft["resumable"], draft["sticky"], draft["gapTargetMs"], draft["timeoutMs"] = true, true, 120, 8000
	routes := []any{draft}
	for _, r := range []map[string]any{
		route("slot-lookup", lookupPrefix, "safe", bookingService, 2),
		route("slot-hold", holdPrefix, "unsafe", c.holdService, 1),
		route("visit-list", visitPrefix, "safe", bookingService, 2),
	} {
		if !slices.Contains(c.dropped, r["name"].(string)) {
			routes = append(routes, r)
		}
	}
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 100}
	}
	s.store.put("op/config", map[string]any{
		"version": s.version,
		"routes":  routes,
		"backends": []any{
			plain(bookingService), plain(newBookingService),
			map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 408, "engine": map[string]any{
				"slots": 12, "kvTokens": 280000, "linkMbps": 180000.0, "sets": expertSets, "experts": expertCount, "places": expertPlaces, "spare": 2,
				"expertMb": 10.0, "usual": map[string]any{"prompt": 674, "answer": 97},
			}},
		},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return time.Now()
}

// settings returns the settings that all processes have in common, with the bounds of the sheets of the
// small deployments.
func (s *site) settings(name, role, class, ip string) map[string]any {
	return map[string]any{
		"node": name, "role": role, "class": class, "serves": []string{class}, "ip": ip,
		"zone": "hall-erie", "region": "great-lakes", "zones": map[string]string{"hall-erie": "great-lakes"},
		"portRange": []int{7340, 7355}, "seeds": []string{}, "bootstrap": true, "heartbeatMs": 1200,
		"provider": map[string]any{"addr": s.addr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "retentionS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
		"bounds": map[string]any{
			"contactMs": 3000, "drainMs": 2000, "graceS": graceS, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeMs": 250,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 94, "recoveryS": 12, "passMs": 120, "enforceFencing": false,
		},
	}
}

// run starts a program of the project with a settings file; its output goes to a log.
func (s *site) run(program, file, log string) (*exec.Cmd, chan struct{}, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"VERBENASHIFT_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return cmd, done, nil
}

// front is a gateway process.
type front struct {
	name, ip, addr, ready string
	file, log             string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// addFronts starts gateways.
func (s *site) addFronts(n int) error {
	for range n {
		f, err := s.addFront()
		if err != nil {
			return err
		}
		if err := f.start(s); err != nil {
			return err
		}
	}
	return nil
}

// addFront writes the settings of a gateway.
func (s *site) addFront() (*front, error) {
	n := len(s.fronts)
	f := &front{name: fmt.Sprintf("front-hall-erie-%d", n+1), ip: s.network + strconv.Itoa(50+n)}
	f.addr, f.ready = net.JoinHostPort(f.ip, "8227"), net.JoinHostPort(f.ip, "8220")
	settings := s.settings(f.name, "gateway", "front", f.ip)
	settings["listen"] = map[string]string{"front": f.addr, "ready": f.ready}
	settings["limits"] = map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": frontMemoryMb, "maxFds": frontFds, "linkMbps": 1000.0}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	f.file, f.log = filepath.Join(s.dir, f.name+".json"), filepath.Join(s.dir, f.name+".log")
	s.fronts = append(s.fronts, f)
	return f, os.WriteFile(f.file, data, 0o600)
}

// start starts the gateway as the deploy file does, and waits until it is ready.
func (f *front) start(s *site) error {
	var err error
	if f.cmd, f.exited, err = s.run("target/gateway", f.file, f.log); err != nil {
		return err
	}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if f.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", f.name)
}

// isReady asks the gateway as the platform's balancer does.
func (f *front) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + f.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the folder of the site.
func (s *site) close() {
	for _, f := range s.fronts {
		if f.cmd != nil {
			_ = f.cmd.Process.Kill()
			<-f.exited
		}
	}
	for _, d := range s.sides {
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	_ = os.RemoveAll(s.dir)
}
