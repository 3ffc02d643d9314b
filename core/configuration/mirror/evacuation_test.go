package mirror

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
)

func evacuation(zone string, revision int64) kv.Item {
	return kv.Item{Key: testEvacuationPrefix + zone, Revision: revision, CreateRevision: revision, Value: []byte("?")}
}

func restoration(zone string, revision int64) kv.Item {
	return kv.Item{Key: testEvacuationPrefix + zone, Revision: revision, Deleted: true}
}

// Guards against requests to a zone that the operator has evacuated, whatever the value of the
// key, and against a zone that stays evacuated.
func TestEvacuationIsFollowed(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2)}, 2)
	is.True(m.Apply([]kv.Item{evacuation("z", 3)}, 3))
	is.True(m.Snapshot().Evacuated["z"])
	is.True(!m.Apply([]kv.Item{evacuation("z", 4)}, 4))
	is.True(m.Apply([]kv.Item{restoration("z", 5)}, 5))
	is.Equal(len(m.Snapshot().Evacuated), 0)
	is.True(!m.Apply([]kv.Item{evacuation("", 6)}, 6))
}

// Guards against an evacuation that is missed, or that never ends, because the history of the
// store is gone.
func TestEvacuationsAreReadAgain(t *testing.T) {
	is := is.New(t)
	m := New(testFormats(), quiet())
	m.Apply([]kv.Item{config(1), evacuation("y", 2)}, 2)
	is.True(m.Replace([]kv.Item{config(1), evacuation("z", 9)}, 10, true, noon))
	is.Equal(m.Snapshot().Evacuated, map[string]bool{"z": true})
}

// Guards against an order of the operator that goes unnoticed although it can only be a mistake.
func TestDoubtfulEvacuationsAreLoggedAsErrors(t *testing.T) {
	for name, tt := range map[string]struct {
		zones []string
		level string
	}{
		"one of two":     {[]string{"z"}, "WARN"},
		"no target":      {[]string{"nowhere"}, "ERROR"},
		"the last zone":  {[]string{"y", "z"}, "ERROR"},
		"same as before": {[]string{"y", "y"}, "WARN"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			m := New(testFormats(), slog.New(slog.NewJSONHandler(&out, nil)))
			other := entry("b", "10.0.0.2:80", "ready", 3)
			other.Value = bytes.Replace(other.Value, []byte(`"zone":"z"`), []byte(`"zone":"y"`), 1)
			m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2), other}, 3)
			for i, zone := range tt.zones {
				m.Apply([]kv.Item{evacuation(zone, int64(4+i))}, int64(4+i))
				is.Equal(m.Snapshot().Evacuated[zone], true)
			}
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			is.True(strings.Contains(lines[len(lines)-1], `"level":"`+tt.level+`"`))
		})
	}
}
