// Package story tells from log files alone what became of a request, and why.
//
// Programs log a line for each decision that touches a request or changes what
// they believe. The story of a request is its own lines, what its gateway
// believed meanwhile, and what the stewards of expert groups did. Its cause is
// worked out from these: the last line says how it ended, the beliefs say why it
// came to that.
//
// # Usage
//
//	lines := story.Read(file)
//	own := story.Of(id, lines)
//	fmt.Println(story.Cause(id, own))
package story

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

// before is how long before a request what was believed is shown: changes
// of a map and the states of a group are a second apart.
const before = 1500 * time.Millisecond

// after takes in lines that were written just after the answer.
const after = 50 * time.Millisecond

// beliefs are the messages that tell what decided a request beside its own lines:
// those of its gateway, and those of the stewards.
var beliefs = map[string]bool{
	"queue": true, "all targets of the group refuse": true, "targets of the group take requests again": true,
	"target": true, "target gone": true, "target health": true, "target missing after an outage of the store": true,
	"configuration in force": true, "store does not answer": true, "store answers again": true, "digest": true,
	"stop": true, "start": true, "log lines left out": true, "digest not used": true, "target started again": true,
	"target has started again": true, "target doubted": true, "server entry not understood": true,
}

var groupBeliefs = map[string]bool{
	"group state": true, "change of map": true, "steward begins": true, "steward ends": true,
	"order refused": true, "order not answered": true, "order not understood": true, "sidecar does not answer": true,
	"group has been formed anew": true, "steward not heeded": true, "own rank has left the group": true, "rank": true,
}

// Line is one line of a log.
type Line struct {
	At time.Time
	// Message names the kind of line, Instance who wrote it.
	Message  string
	Instance string
	// ID is that of the request that the line is about, if it is about one.
	ID     string
	fields []field
}

// field is one attribute, as it is written.
type field struct{ name, value string }

// Field returns an attribute, or "".
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

// Read returns the JSON lines of a log; whatever stands before the JSON of a
// line, and lines without any, are left out.
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

// parseLine keeps the attributes in their order.
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

// RequestTrace returns what explains a request, in the order of time.
func RequestTrace(id string, lines []Line) []Line {
	var first, last time.Time
	gateways := map[string]bool{}
	for _, l := range lines {
		if l.ID != id {
			continue
		}
		gateways[l.Instance] = true
		if began := l.At.Add(-l.took()); first.IsZero() || began.Before(first) {
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
	var story []Line
	for _, l := range lines {
		near := !l.At.Before(first) && !l.At.After(last)
		own := l.ID == id
		if own || near && (gateways[l.Instance] && beliefs[l.Message] || groupBeliefs[l.Message]) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return story
}

// took is how long the request of the line had taken by then.
func (l Line) took() time.Duration {
	d, err := time.ParseDuration(l.Field("ms") + "ms")
	if err != nil {
		return 0 // The line has no such attribute.
	}
	return d
}

// Text returns the line for people.
func (l Line) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, f := range l.fields {
		fmt.Fprintf(&b, " %s=%s", f.name, f.value)
	}
	return b.String()
}
