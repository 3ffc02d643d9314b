package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"
)

// The expert group of the cases: small, with little to do.
const (
	engineService = "verbena-pool"
	groupName     = "g0"
	expertSets    = 2
	expertCount   = 16
	expertPlaces  = 6
)

// rank is a model server of the group that runs a pass now and then and gets no requests.
type rank struct {
	number, size int
	began        time.Time
}

func (r *rank) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	group := map[string]any{"name": groupName, "epoch": 1, "rank": r.number, "state": "open"}
	step := int64(time.Since(r.began) / (20 * time.Millisecond))
	switch req.URL.Path {
	case "/report":
		reply(w, http.StatusOK, map[string]any{
			"stage": "unified", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 280000,
			"handles": 0, "group": group, "size": r.size, "step": step, "map": 0, "prepared": 0, "armed": 0, "held": 0, "pace": 1.0,
		})
	case "/picked":
		reply(w, http.StatusOK, map[string]any{"step": step, "epoch": 1, "counts": make([]int64, expertSets*expertCount)})
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	default:
		reply(w, http.StatusConflict, struct{}{})
	}
}

// side is a sidecar process beside a rank.
type side struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// addSides starts the ranks of the group, each with a sidecar.
func (s *site) addSides(n int) error {
	for i := range n {
		ip := s.network + strconv.Itoa(10+i)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(l, &rank{number: i, size: n, began: time.Now()}) }()
		s.store.put(fmt.Sprintf("servers/i-rank%d", i), map[string]any{
			"backend": engineService, "addr": l.Addr().String(), "zone": "hall-erie", "version": "1", "slots": 12, "state": "ready", "coldMs": 0, "seq": 1,
			"group": map[string]any{"name": groupName, "epoch": 1, "rank": i, "state": "open"},
		})
		d := &side{name: fmt.Sprintf("side-hall-erie-%d", i+1)}
		settings := s.settings(d.name, "sidecar", "side", ip)
		settings["listen"], settings["app"], settings["backend"] = map[string]string{}, l.Addr().String(), engineService
		settings["limits"] = map[string]any{"cpuShare": 0.24, "cores": 1, "memoryMb": 152, "maxFds": 2048, "linkMbps": 20.0}
		file := filepath.Join(s.dir, d.name+".json")
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return err
		}
		if d.cmd, d.done, err = s.run("target/sidecar", file, filepath.Join(s.dir, d.name+".log")); err != nil {
			return err
		}
		s.sides = append(s.sides, d)
	}
	return nil
}
