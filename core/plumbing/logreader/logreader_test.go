package logreader

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a log that is not read because of its form: with a prefix from the log
// collector, with other text between the lines, or truncated at the end. The lines that
// can be parsed are kept.
func TestReadKeepsWhatItCan(t *testing.T) {
	is := is.New(t)
	lines := Read(strings.NewReader(`not JSON
  1.95 front-1 {"time":"2026-01-31T08:00:01.95Z","msg":"request","instance":"front-1","id":"r1","status":503,"reason":"refused by i-2"}
{"time":"2026-01-31T08:00:02Z","msg":
{"no":"message"}
{"time":"later","msg":"request","id":"r2"}
`))
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Field("status"), "503")
	is.Equal(lines[0].Field("none"), "")
	is.True(lines[1].At.IsZero())
	is.Equal(CauseOf("r1", lines).Kind, Refused)
	is.Equal(CauseOf("r9", lines).Kind, Unknown)
}

func FuzzCause(f *testing.F) {
	f.Add(`{"time":"2026-01-31T08:00:01.95Z","msg":"request","id":"r1","status":504,"reason":"i/o timeout","ms":"x"}`)
	f.Add(`{"msg":"group state","known":"a","ranks":16,"id":"r1"}`)
	f.Fuzz(func(t *testing.T, text string) {
		own := RequestTrace("r1", Read(strings.NewReader(text)))
		if c := CauseOf("r1", own); c.Kind == "" {
			t.Errorf("no kind for %q", text)
		}
	})
}
