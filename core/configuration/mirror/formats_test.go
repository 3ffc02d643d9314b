package mirror

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"

	"verbenashift/core/configuration/deployment"
	"verbenashift/core/configuration/kv"
	"verbenashift/core/experts/engine"
)

// The keys of the tests' store.
const (
	testOperatorPrefix   = "test/op/"
	testConfigKey        = testOperatorPrefix + "config"
	testEvacuationPrefix = testOperatorPrefix + "evacuate/"
	testTargetPrefix     = "test/targets/"
)

// testFormats decodes the entries that the tests write.
func testFormats() deployment.Formats {
	return deployment.Formats{
		ConfigKey: testConfigKey, TargetPrefix: testTargetPrefix, EvacuationPrefix: testEvacuationPrefix,
		OperatorPrefix: testOperatorPrefix, Config: testConfig, Target: testTarget,
	}
}

func testConfig(value []byte) (*deployment.Config, error) {
	var w struct {
		Version  int64                   `json:"version"`
		Backends []struct{ Name string } `json:"backends"`
	}
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, err
	}
	c := &deployment.Config{Version: w.Version}
	for _, b := range w.Backends {
		c.Services = append(c.Services, deployment.Service{Name: b.Name})
	}
	return c, nil
}

func testTarget(it kv.Item) (deployment.Target, error) {
	var w struct {
		Backend, Zone, State string
		Addr                 netip.AddrPort
		Slots                int
		Born                 int64
		Group                struct {
			Name, State string
			Epoch       int64
		}
	}
	if err := json.Unmarshal(it.Value, &w); err != nil {
		return deployment.Target{}, err
	}
	if w.State != "ready" && w.State != "draining" {
		return deployment.Target{}, errors.Errorf("state %q", w.State)
	}
	return deployment.Target{
		ID: strings.TrimPrefix(it.Key, testTargetPrefix), Service: w.Backend, Addr: w.Addr, Zone: w.Zone, Slots: w.Slots,
		Draining: w.State == "draining", CreateRevision: it.CreateRevision, StartedAt: w.Born,
		Group: engine.GroupID{Name: w.Group.Name, Epoch: w.Group.Epoch}, GroupComplete: w.Group.State == "open",
	}, nil
}
