// Package logreader reconstructs from log files alone how a request ended, and why.
//
// Programs log a line for each decision that affects a request and for each change
// of the state that decisions depend on. The trace of a request consists of its own
// lines, the state changes of its gateway in the same period, and the actions of the
// coordinators of expert groups. Its cause follows from these: the last line of the
// request records how it ended, the state changes show why.
//
// # Usage
//
//	lines := logreader.Read(file)
//	own := logreader.RequestTrace(id, lines)
//	fmt.Println(logreader.CauseOf(id, own))
package logreader

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// before is how long before the start of a request state changes belong to its trace:
// map changes and group states are logged a second apart.
const before = 1500 * time.Millisecond

// after is how long after the end of a request they still do: some lines are written
// just after the answer.
const after = 50 * time.Millisecond

// gatewayMessages and groupMessages are the messages of state changes that explain a
// request beside its own lines: those of its gateway, and those of the coordinators.
var gatewayMessages = map[string]bool{
	"queue": true, "all targets of the group refuse": true, "targets of the group take requests again": true,
	"target": true, "target gone": true, "target health": true, "target missing after an outage of the store": true,
	"configuration in force": true, "store does not answer": true, "store answers again": true, "store has come back from an older copy": true, "digest": true,
	"stop": true, "start": true, "log lines left out": true, "digest not used": true, "target started again": true,
	"target has started again": true, "target doubted": true, "server entry not understood": true,
	"headroom": true, "priority out of range": true,
}

var groupMessages = map[string]bool{
	"group state": true, "change of map": true, "steward begins": true, "steward ends": true,
	"order refused": true, "order not answered": true, "order not understood": true, "sidecar does not answer": true,
	"group has been formed anew": true, "steward not heeded": true, "own rank has left the group": true, "rank": true,
}

// Line is one line of a log.
type Line struct {
	At time.Time
	// Message identifies the kind of line, Instance the instance that wrote it.
	Message  string
	Instance string
	// ID is the identifier of the request that the line is about, if any.
	ID     string
	fields []field
}

// field is one attribute, as it stands in the log.
type field struct{ name, value string }

// Field returns the value of an attribute, or "" if the line has none of that name.
func (l Line) Field(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// maxLogLine is the longest line that is read.
const maxLogLine = 1 << 20

// Read returns the JSON lines of a log. It skips any text before the JSON of a line,
// and lines without JSON.
func Read(r io.Reader) []Line {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		text := s.Bytes()
		if i := bytes.IndexByte(text, '{'); i >= 0 {
			if l, ok := parseLine(text[i:]); ok {
				lines = append(lines, l)
			}
		}
	}
	return lines
}

// parseLine decodes a line and keeps the order of its attributes.
func parseLine(text []byte) (Line, bool) {
	d := json.NewDecoder(bytes.NewReader(text))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return Line{}, false
	}
	var l Line
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return Line{}, false
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return Line{}, false
		}
		l.add(fmt.Sprint(name), value)
	}
	return l, l.Message != ""
}

func (l *Line) add(name string, raw json.RawMessage) {
	value := string(raw)
	var text string
	if json.Unmarshal(raw, &text) == nil && !strings.ContainsAny(text, " \"") {
		value = text
	}
	switch name {
	case "time":
		// A line without a time sorts first.
		l.At, _ = time.Parse(time.RFC3339Nano, text)
	case "msg":
		l.Message = text
	case "instance":
		l.Instance = text
	case "level", "program":
	default:
		if name == "id" {
			l.ID = text
		}
		l.fields = append(l.fields, field{name, value})
	}
}

// RequestTrace returns the lines that explain a request, in chronological order.
func RequestTrace(id string, lines []Line) []Line {
	var first, last time.Time
	gateways := map[string]bool{}
	for _, l := range lines {
		if l.ID != id {
			continue
		}
		gateways[l.Instance] = true
		if began := l.At.Add(-l.elapsed()); first.IsZero() || began.Before(first) {
			first = began
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	if first.IsZero() {
		return nil
	}
	first, last = first.Add(-before), last.Add(after)
	var trace []Line
	for _, l := range lines {
		near := !l.At.Before(first) && !l.At.After(last)
		own := l.ID == id
		if own || near && (gateways[l.Instance] && gatewayMessages[l.Message] || groupMessages[l.Message]) {
			trace = append(trace, l)
		}
	}
	slices.SortStableFunc(trace, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return trace
}

// elapsed returns how long the request of the line had taken when it was logged.
func (l Line) elapsed() time.Duration {
	d, err := time.ParseDuration(l.Field("ms") + "ms")
	if err != nil {
		return 0 // The line has no such attribute.
	}
	return d
}

// Text returns the line in readable form.
func (l Line) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, f := range l.fields {
		fmt.Fprintf(&b, " %s=%s", f.name, f.value)
	}
	return b.String()
}
