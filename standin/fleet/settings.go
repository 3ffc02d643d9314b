package fleet

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strconv"
)

// Configure writes a new configuration with a timeout for plain requests.
func (f *Fleet) Configure(timeoutMs int) {
	f.version += 3
	route := func(name, prefix, kind, backend string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "backend": backend,
			"timeoutMs": timeoutMs, "sloMs": 300, "priority": 1, "maxAttempts": 2,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	routes := []any{
		route("drafts", streamPrefix, "stream", "pool", map[string]any{"timeoutMs": 8000, "resumable": true, "gapTargetMs": 120}),
		route("lookups", safePrefix, "safe", "desk", nil),
		route("holds", unsafePrefix, "unsafe", "desk", map[string]any{"maxAttempts": 1}),
	}
	if f.Shape.Classes {
		routes = append(routes, route("summaries", streamPrefix+lowerPath, "stream", "pool", map[string]any{
			"timeoutMs": 8000, "resumable": true, "gapTargetMs": 120, "priority": 2, "sloMs": 1000,
		}))
	}
	f.put("op/config", map[string]any{
		"version": f.version,
		"routes":  routes,
		"backends": []any{
			map[string]any{"name": "pool", "healthPath": "/healthz", "maxConns": 400, "engine": map[string]any{
				"slots": slots, "kvTokens": 100000, "linkMbps": 1000.0, "sets": layers, "experts": experts, "places": slotsPerRank,
				"spare": spareSlots, "expertMb": 1.0, "usual": map[string]any{"prompt": 100, "answer": 50},
			}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 100},
		},
		"tenants": []any{map[string]any{"name": workspace, "apiKeys": []string{secret}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// RewriteSettings rewrites the settings file of a process with another heartbeat
// interval of the servers and with an unknown field.
func (f *Fleet) RewriteSettings(b Boot, heartbeatMs int) error {
	settings, err := readSettings(b.File)
	if err != nil {
		return err
	}
	settings["heartbeatMs"], settings["newer"] = heartbeatMs, map[string]any{"field": true}
	return writeFile(b.File, settings)
}

// Started rewrites the settings files of all processes after the first start of the whole system:
// a process that starts now may have run before.
func (f *Fleet) Started() error {
	for _, b := range f.Boots {
		settings, err := readSettings(b.File)
		if err != nil {
			return err
		}
		settings["bootstrap"] = false
		if err := writeFile(b.File, settings); err != nil {
			return err
		}
	}
	return nil
}

func readSettings(file string) (map[string]any, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{}
	return settings, json.Unmarshal(data, &settings)
}

// writeFile replaces a settings file.
func writeFile(file string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	// Rename the file into place: a process that starts now must not read a partial
	// file.
	next := file + ".next"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	return os.Rename(next, file)
}

// writeSettings writes the settings file of one process.
func (f *Fleet) writeSettings(name, role, ip string, listen map[string]string, app string) error {
	settings := map[string]any{
		"node": name, "role": role, "ip": ip, "zone": "z1", "listen": listen,
		"portRange": []int{peerPort, lastPort}, "heartbeatMs": 1000, "bootstrap": true,
		"limits":   map[string]any{"memoryMb": 200, "maxFds": 4100},
		"provider": map[string]any{"addr": net.JoinHostPort(f.ip(1), strconv.Itoa(storePort)), "form": "kv", "writesPerS": 400, "readsPerS": 2000},
		"bounds": map[string]any{
			"graceS": graceSeconds, "drainMs": 2000, "retryBudgetRatio": retryRatio, "budgetSlack": retryBurst, "budgetWindowS": retryWindow.Seconds(), "enforceFencing": false,
		},
	}
	if app != "" {
		settings["app"], settings["backend"] = app, "pool"
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(f.Dir, name+".json")
	f.Boots = append(f.Boots, Boot{Name: name, Role: role, File: file})
	return os.WriteFile(file, data, 0o600)
}
