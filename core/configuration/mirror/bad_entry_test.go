package mirror

import (
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/configuration/kv"
)

// Guards against an entry that can't be decoded, or is of an unknown service, and that hides the
// others or the server that it named before.
func TestBadEntryNamesNoServer(t *testing.T) {
	for name, value := range map[string]string{
		"bytes":         "\xff\x00\x01",
		"other types":   `{"backend":7,"addr":[],"state":true}`,
		"unknown state": `{"backend":"desk","addr":"10.0.0.1:80","zone":"z","slots":6,"state":"asleep"}`,
		"no service":    `{"backend":"nobody","addr":"10.0.0.2:80","zone":"z","slots":6,"state":"ready"}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := New(testFormats(), quiet())
			m.Apply([]kv.Item{config(1), entry("a", "10.0.0.1:80", "ready", 2), entry("b", "10.0.0.2:80", "ready", 3)}, 3)
			is.Equal(len(m.Snapshot().Targets), 2)
			m.Apply([]kv.Item{{Key: testTargetPrefix + "a", Value: []byte(value), Revision: 4, CreateRevision: 2}}, 4)
			targets := m.Snapshot().Targets
			is.Equal(len(targets), 1)
			is.Equal(targets["b"].Addr.String(), "10.0.0.2:80")
		})
	}
}
