package mirror

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/platform"
)

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func config(version int64) platform.Item {
	return platform.Item{Key: platform.ConfigKey, Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"backends":[{"name":"desk"}]}`, version), Revision: version}
}

func entry(id, addr, state string, created int64) platform.Item {
	return platform.Item{
		Key: platform.TargetPrefix + id, Created: created, Revision: created,
		Value: fmt.Appendf(nil, `{"backend":"desk","addr":%q,"zone":"z","version":"v1","slots":6,"state":%q,"coldMs":0,"seq":1}`, addr, state),
	}
}

func gone(id string, revision int64) platform.Item {
	return platform.Item{Key: platform.TargetPrefix + id, Removed: true, Revision: revision}
}

var noon = time.Unix(1000, 0)

// A caller's request is served by a new route, and the next one is told that
// the route does not exist: a late answer of the store has brought an older
// configuration after the newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	m := New(quiet())
	is.Equal(m.View(), nil)
	is.True(m.Apply([]platform.Item{config(7)}, 7))
	is.True(!m.Apply([]platform.Item{config(4)}, 8))
	is.True(!m.Replace([]platform.Item{config(5)}, 9, false, noon))
	is.Equal(m.View().Config.Version, int64(7))
	is.True(m.Apply([]platform.Item{config(11)}, 11))
	is.Equal(m.View().Config.Version, int64(11))
}

// A configuration that can't be read must not take the place of one that can.
func TestBadConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	m := New(quiet())
	m.Apply([]platform.Item{config(7)}, 7)
	is.True(!m.Apply([]platform.Item{{Key: platform.ConfigKey, Value: []byte("{"), Revision: 8}}, 8))
	is.Equal(m.View().Config.Version, int64(7))
}

// A server is started again at its address. Requests to its earlier life would
// all be refused until that entry expires.
func TestNewestServerOfAnAddress(t *testing.T) {
	is := is.New(t)
	m := New(quiet())
	m.Apply([]platform.Item{config(1), entry("old", "10.0.0.1:80", "ready", 2)}, 2)
	m.Apply([]platform.Item{entry("new", "10.0.0.1:80", "ready", 9)}, 9)
	v := m.View()
	is.Equal(len(v.Targets), 1)
	is.Equal(v.Targets["new"].ID, "new")
	m.Apply([]platform.Item{gone("old", 10)}, 10)
	is.Equal(len(m.View().Targets), 1)
}

// The store was away; entries have lapsed though their servers live, and are
// back two seconds later. Dropping them at once would leave nobody to serve.
// One that does not come back is dropped after all.
func TestMissingAfterAnOutage(t *testing.T) {
	is := is.New(t)
	m := New(quiet())
	m.Apply([]platform.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2), entry("b", "10.0.0.2:80", "ready", 3)}, 3)
	m.Replace([]platform.Item{config(1)}, 20, true, noon)
	is.Equal(len(m.View().Targets), 2)
	m.Apply([]platform.Item{entry("a", "10.0.0.1:80", "ready", 21)}, 21)
	is.True(!m.Tick(noon.Add(returnGrace - 1)))
	is.True(m.Tick(noon.Add(returnGrace)))
	v := m.View()
	is.Equal(len(v.Targets), 1)
	is.Equal(v.Targets["a"].ID, "a")
}

// A server leaves while the history of the store is dropped, so that nobody sees
// its entry go. It must get nothing from then on.
func TestMissingAfterAGap(t *testing.T) {
	is := is.New(t)
	m := New(quiet())
	m.Apply([]platform.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2)}, 2)
	is.True(m.Replace([]platform.Item{config(1)}, 20, false, noon))
	is.Equal(len(m.View().Targets), 0)
}

func TestDrainingIsSeen(t *testing.T) {
	is := is.New(t)
	m := New(quiet())
	m.Apply([]platform.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2)}, 2)
	is.True(m.Apply([]platform.Item{entry("a", "10.0.0.1:80", "draining", 2)}, 5))
	is.True(m.View().Targets["a"].Draining)
	is.True(!m.Apply([]platform.Item{entry("a", "10.0.0.1:80", "draining", 2)}, 6))
}
