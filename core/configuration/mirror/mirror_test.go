package mirror

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
	"verbenashift/core/experts/rankpeer"
)

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func config(version int64) kv.Item {
	return kv.Item{Key: testConfigKey, Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"backends":[{"name":"desk"}]}`, version), Revision: version}
}

func entry(id, addr, state string, created int64) kv.Item {
	return kv.Item{
		Key: testTargetPrefix + id, CreateRevision: created, Revision: created,
		Value: fmt.Appendf(nil, `{"backend":"desk","addr":%q,"zone":"z","version":"v1","slots":6,"state":%q,"coldMs":0,"seq":1}`, addr, state),
	}
}

func deletedItem(id string, revision int64) kv.Item {
	return kv.Item{Key: testTargetPrefix + id, Deleted: true, Revision: revision}
}

var noon = time.Unix(1000, 0)

// Guards against a late answer that puts an older configuration in force.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	is.Equal(m.Snapshot(), nil)
	is.True(m.Apply([]kv.Item{config(7)}, 7))
	is.True(!m.Apply([]kv.Item{config(4)}, 8))
	is.True(!m.Replace([]kv.Item{config(5)}, 9, false, noon))
	is.Equal(m.Snapshot().Config.Version, int64(7))
	is.True(m.Apply([]kv.Item{config(11)}, 11))
	is.Equal(m.Snapshot().Config.Version, int64(11))
}

// Guards against replacing a valid configuration with one that cannot be decoded.
func TestBadConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(7)}, 7)
	is.True(!m.Apply([]kv.Item{{Key: testConfigKey, Value: []byte("{"), Revision: 8}}, 8))
	is.Equal(m.Snapshot().Config.Version, int64(7))
}

// Guards against sending requests to the earlier server of an address.
func TestNewestServerOfAnAddress(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("old", "10.0.0.1:80", "ready", 2)}, 2)
	m.Apply([]kv.Item{entry("new", "10.0.0.1:80", "ready", 9)}, 9)
	v := m.Snapshot()
	is.Equal(len(v.Targets), 1)
	is.Equal(v.Targets["new"].ID, "new")
	m.Apply([]kv.Item{deletedItem("old", 10)}, 10)
	is.Equal(len(m.Snapshot().Targets), 1)
}

// Guards against dropping all servers whose entries have expired, and against retaining those
// that have departed.
func TestMissingAfterAnOutage(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2), entry("b", "10.0.0.2:80", "ready", 3)}, 3)
	m.Replace([]kv.Item{config(1)}, 20, true, noon)
	is.Equal(len(m.Snapshot().Targets), 2)
	m.Apply([]kv.Item{entry("a", "10.0.0.1:80", "ready", 21)}, 21)
	is.True(!m.ApplyDeferred(noon.Add(reregisterGrace - 1)))
	is.True(m.ApplyDeferred(noon.Add(reregisterGrace)))
	v := m.Snapshot()
	is.Equal(len(v.Targets), 1)
	is.Equal(v.Targets["a"].ID, "a")
}

// Guards against retaining a server that left while the history was compacted.
func TestMissingAfterAGap(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2)}, 2)
	is.True(m.Replace([]kv.Item{config(1)}, 20, false, noon))
	is.Equal(len(m.Snapshot().Targets), 0)
}

func TestDrainingIsSeen(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2)}, 2)
	is.True(m.Apply([]kv.Item{entry("a", "10.0.0.1:80", "draining", 2)}, 5))
	is.True(m.Snapshot().Targets["a"].Draining)
	is.True(!m.Apply([]kv.Item{entry("a", "10.0.0.1:80", "draining", 2)}, 6))
}

// server returns an entry of a server with its start and its group.
func server(id, addr string, born, created, revision int64) kv.Item {
	it := entry(id, addr, "ready", created)
	it.Revision = revision
	it.Value = append(it.Value[:len(it.Value)-1], fmt.Appendf(nil, `,"born":%d,"group":{"name":"g1","epoch":2,"rank":0,"state":"open"}}`, born)...)
	return it
}

// Guards against an entry of another writer that adds or hides a server.
func TestEntriesThatNameNoServer(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2), entry("b", "10.0.0.2:80", "ready", 3)}, 3)
	strange := entry("c", "10.0.0.1:80", "ready", 9)
	strange.Value = []byte(strings.Replace(string(strange.Value), `"desk"`, `"nowhere"`, 1))
	m.Apply([]kv.Item{strange, {Key: testTargetPrefix + "d", Value: []byte("\x00"), Revision: 10}}, 10)
	is.Equal(len(m.Snapshot().Targets), 2)
	is.True(m.Apply([]kv.Item{{Key: testTargetPrefix + "b", Value: []byte("{"), Revision: 11}}, 11))
	v := m.Snapshot()
	is.Equal(len(v.Targets), 1)
	is.Equal(v.Targets["a"].ID, "a")
	is.True(m.Apply([]kv.Item{entry("b", "10.0.0.2:80", "ready", 3)}, 12))
	is.Equal(len(m.Snapshot().Targets), 2)
}

// Guards against sending requests to the server that had an address before.
func TestServerStartsAgainUnderItsID(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), server("a", "10.0.0.1:80", 100, 2, 2), server("b", "10.0.0.2:80", 100, 5, 5)}, 5)
	is.True(m.Apply([]kv.Item{server("a", "10.0.0.2:80", 900, 2, 8)}, 8))
	v := m.Snapshot()
	is.Equal(len(v.Targets), 1)
	is.Equal(v.Targets["a"].StartedAt, int64(900))
	is.Equal(v.Targets["a"].Addr.String(), "10.0.0.2:80")
	is.True(!m.Apply([]kv.Item{server("a", "10.0.0.2:80", 900, 2, 9)}, 9))
	is.Equal(m.Snapshot().Targets["a"].CreateRevision, int64(8))
}

// Guards against mistaking the coordinator of one group for that of another.
func TestClaimsBelongToTheirGroups(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	claim := func(key, group, addr string, revision int64) kv.Item {
		return kv.Item{Key: rankpeer.ClaimPrefix + key, Value: rankpeer.Claim{Group: group, Epoch: 1, Addr: addr}.Bytes(), Revision: revision}
	}
	long := strings.Repeat("a group's name is opaque ", 20)
	m.Apply([]kv.Item{
		config(1), claim("g0", "g0", "10.0.0.1:9", 2), claim("g/1 ?", "g/1 ?", "10.0.0.2:9", 3), claim("g2", "g0", "10.0.0.3:9", 4),
		{Key: rankpeer.ClaimPrefix + "g3", Value: []byte("10.0.0.4:9"), Revision: 5},
		{Key: rankpeer.Key(rankpeer.ClaimPrefix, long), Value: rankpeer.Claim{Group: long, Addr: "10.0.0.5:9"}.Bytes(), Revision: 6},
	}, 6)
	is.True(len(rankpeer.Key(rankpeer.ClaimPrefix, long)) <= 200)
	v := m.Snapshot()
	is.Equal(len(v.Coordinators), 3)
	is.Equal(v.Coordinators["g0"].Addr, "10.0.0.1:9")
	is.Equal(v.Coordinators["g/1 ?"].Addr, "10.0.0.2:9")
	is.Equal(v.Coordinators[long].Addr, "10.0.0.5:9")
	is.True(m.Apply([]kv.Item{{Key: rankpeer.ClaimPrefix + "g0", Deleted: true, Revision: 7}}, 7))
	is.Equal(len(m.Snapshot().Coordinators), 2)
}
