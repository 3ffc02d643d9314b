package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// explainBefore is how long before a request what was believed is shown: changes
// of a map and the states of a group are a second apart.
const explainBefore = 1500 * time.Millisecond

// explainAfter takes in lines that were written just after the answer.
const explainAfter = 50 * time.Millisecond

// beliefs are the messages that tell what decided a request beside its own lines:
// those of its gateway, and those of the stewards.
var beliefs = map[string]bool{
	"queue": true, "all targets refuse, requests wait": true, "targets take requests again": true,
	"target": true, "target gone": true, "target health": true, "target missing after an outage of the store": true,
	"configuration in force": true, "store does not answer": true, "store answers again": true, "digest": true,
	"stop": true, "start": true, "log lines left out": true,
}

var groupBeliefs = map[string]bool{
	"group state": true, "change of map": true, "steward begins": true, "steward ends": true,
	"order refused": true, "order not answered": true, "sidecar does not answer": true,
}

// logLine is one line of a log.
type logLine struct {
	at       time.Time
	msg      string
	instance string
	id       string
	fields   []field
}

// field is one attribute, as it is written.
type field struct{ name, value string }

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell the story of a request from log files", ArgsUsage: "ID [FILE...]",
		Description: "Prints the request's own lines and what its gateway and the stewards believed\n" +
			"meanwhile, in the order of time. Without files the log is read from standard input.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 1 {
				return usagef("explain: want the identifier of a request")
			}
			return p.explain(cmd.Args().First(), cmd.Args().Tail())
		},
	}
}

// explain reads the logs and prints the story of a request.
func (p *program) explain(id string, files []string) error {
	var lines []logLine
	if len(files) == 0 {
		lines = readLog(p.in)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		lines = append(lines, readLog(f)...)
		// Nothing was written.
		_ = f.Close()
	}
	story := storyOf(id, lines)
	if len(story) == 0 {
		return errors.Errorf("no line of request %s", id)
	}
	for _, l := range story {
		if _, err := fmt.Fprintln(p.out, l.text()); err != nil {
			return err
		}
	}
	return nil
}

// maxLogLine is the longest line that is read.
const maxLogLine = 1 << 20

// readLog returns the JSON lines of a log; whatever stands before the JSON of a
// line, and lines without any, are left out.
func readLog(r io.Reader) []logLine {
	var lines []logLine
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
func parseLine(text []byte) (logLine, bool) {
	d := json.NewDecoder(bytes.NewReader(text))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return logLine{}, false
	}
	var l logLine
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return logLine{}, false
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return logLine{}, false
		}
		l.add(fmt.Sprint(name), value)
	}
	return l, l.msg != ""
}

func (l *logLine) add(name string, raw json.RawMessage) {
	value := string(raw)
	var text string
	if json.Unmarshal(raw, &text) == nil && !strings.ContainsAny(text, " \"") {
		value = text
	}
	switch name {
	case "time":
		// A line without a time sorts first.
		l.at, _ = time.Parse(time.RFC3339Nano, text)
	case "msg":
		l.msg = text
	case "instance":
		l.instance = text
	case "level", "program":
	default:
		if name == "id" {
			l.id = text
		}
		l.fields = append(l.fields, field{name, value})
	}
}

// storyOf returns what explains a request, in the order of time.
func storyOf(id string, lines []logLine) []logLine {
	var first, last time.Time
	gateways := map[string]bool{}
	for _, l := range lines {
		if l.id != id {
			continue
		}
		gateways[l.instance] = true
		if began := l.at.Add(-l.took()); first.IsZero() || began.Before(first) {
			first = began
		}
		if l.at.After(last) {
			last = l.at
		}
	}
	if first.IsZero() {
		return nil
	}
	first, last = first.Add(-explainBefore), last.Add(explainAfter)
	var story []logLine
	for _, l := range lines {
		near := !l.at.Before(first) && !l.at.After(last)
		own := l.id == id
		if own || near && (gateways[l.instance] && beliefs[l.msg] || groupBeliefs[l.msg]) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return story
}

// took is how long the request of the line had taken by then.
func (l *logLine) took() time.Duration {
	for _, f := range l.fields {
		if f.name != "ms" {
			continue
		}
		if d, err := time.ParseDuration(f.value + "ms"); err == nil {
			return d
		}
	}
	return 0
}

// text returns the line for people.
func (l *logLine) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.at.UTC().Format("15:04:05.000"), l.instance, l.msg)
	for _, f := range l.fields {
		fmt.Fprintf(&b, " %s=%s", f.name, f.value)
	}
	return b.String()
}
