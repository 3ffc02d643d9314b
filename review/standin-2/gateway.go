package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is a process of the project, started with the command of the deploy file.
type gateway struct {
	name, ip, front, ready string
	boot                   string
	log                    *os.File
	cmd                    *exec.Cmd
}

// freePort returns a port that is free on an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(&notRunError{"no free port on " + ip})
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// newGateway writes the settings of a gateway like that of a small deployment, whose store is reached at
// an address.
func newGateway(dir, name, ip, storeAddr string, bootstrap bool) *gateway {
	g := &gateway{name: name, ip: ip, front: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip))}
	first := freePort(ip)
	settings := map[string]any{
		"node": name, "role": "gateway", "class": "front", "serves": []string{"front"}, "ip": ip,
		"zone": "bole-hall", "region": "addis", "zones": map[string]string{"bole-hall": "addis"},
		"listen":    map[string]string{"front": g.front, "ready": g.ready},
		"portRange": []int{first, first}, "seeds": []string{}, "bootstrap": bootstrap, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "experts"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchupS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeMs": 250, "maxSkewMs": 5000, "strictRevoke": false,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 90, "recoveryS": 12,
			"passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "enforceFencing": false,
		},
		"provider": map[string]any{
			"addr": storeAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "retentionS": 20, "valueBytes": 1048576, "minTtlMs": 1000,
		},
	}
	data, _ := json.MarshalIndent(settings, "", " ")
	g.boot = filepath.Join(dir, name+".json")
	if err := os.WriteFile(g.boot, data, 0o600); err != nil {
		panic(&notRunError{err.Error()})
	}
	return g
}

func (g *gateway) start(dir string) {
	if g.log == nil {
		g.log, _ = os.Create(filepath.Join(dir, g.name+".log"))
	}
	cmd := exec.Command("target/gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENASHIFT_BOOT=" + g.boot}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(&notRunError{err.Error()})
	}
	g.cmd = cmd
	go cmd.Wait()
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady() {
	c := http.Client{Timeout: time.Second}
	for range 100 {
		if resp, err := c.Get("http://" + g.ready + "/readyz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(&notRunError{g.name + " is not ready"})
}

func (g *gateway) kill() {
	if g.cmd != nil {
		g.cmd.Process.Kill()
	}
}
