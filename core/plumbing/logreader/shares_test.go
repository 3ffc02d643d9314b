package logreader

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// requestLine returns the log line of the end of a request.
func requestLine(id, workspace, end string, tokens int) string {
	return fmt.Sprintf(`{"time":"2026-01-01T00:00:00Z","msg":"request","instance":"g1","id":%q,"workspace":%q,"route":"r","tokens":%d,%s}`, id, workspace, tokens, end)
}

// Guards against a workspace whose requests are mostly refused while those of another are
// served, without the log showing it.
func TestSharesOfWorkspaces(t *testing.T) {
	is := is.New(t)
	lines := Read(strings.NewReader(strings.Join([]string{
		requestLine("a", "erie", `"status":200,"on-time":true`, 10),
		requestLine("b", "erie", `"status":200,"on-time":false`, 10),
		requestLine("c", "huron", `"status":503,"reason":"deadline-passed"`, 10),
		requestLine("d", "huron", `"status":503,"reason":"deadline-passed"`, 10),
		requestLine("e", "huron", `"outcome":"caller-left"`, 10),
		requestLine("f", "huron", `"status":502`, 10),
		requestLine("g", "huron", `"outcome":"broken-off"`, 10),
		requestLine("h", "", `"status":404`, 10),
		`{"time":"2026-01-01T00:00:00Z","msg":"retry","id":"f","workspace":"huron"}`,
	}, "\n")))
	got := Shares(lines, ByField("workspace"))
	is.Equal(got, []Share{
		{Group: "erie", Tries: 2, OnTime: 1, Late: 1},
		{Group: "huron", Tries: 5, Refused: 2, Failed: 2, Disconnected: 1},
	})
	is.Equal(got[0].Served(), 1.0)
	is.Equal(got[1].Served(), 0.0)
	is.Equal(Share{Tries: 3, Disconnected: 3}.Served(), 0.0)
}

// Guards against failures of the longest requests that go unnoticed among the others: they
// are the first to suffer when memory is short, so they are counted separately, per route.
func TestSharesOfSizes(t *testing.T) {
	is := is.New(t)
	var text []string
	for i := range 20 {
		text = append(text, requestLine(fmt.Sprint(i), "w", `"status":200,"on-time":true`, i+1))
	}
	text = append(text, requestLine("x", "w", `"status":404`, 0))
	lines := Read(strings.NewReader(strings.Join(text, "\n")))
	got := Shares(lines, BySize(lines))
	is.Equal(got, []Share{
		{Group: fifthBelow, Tries: 4, OnTime: 4},
		{Group: largestTenth, Tries: 2, OnTime: 2},
		{Group: smaller, Tries: 14, OnTime: 14},
	})
}
