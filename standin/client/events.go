package client

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

const maxEvent = 4 << 20

// event is one server-sent event.
type event struct {
	name string
	data []byte
	// id is 0 for an event without a numeric ID.
	id uint64
}

// events reads the events of a stream.
type events struct{ lines *bufio.Scanner }

func newEvents(r io.Reader) *events {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEvent)
	return &events{lines}
}

// next returns the next event that has data, or io.EOF at the end of the stream.
// A trailing event that no blank line terminates is dropped.
func (e *events) next() (event, error) {
	var ev event
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if len(line) == 0 {
			if ev.data != nil {
				return ev, nil
			}
			ev = event{}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(name) {
		case "event":
			ev.name = string(value)
		case "id":
			ev.id, _ = strconv.ParseUint(string(value), 10, 64)
		case "data":
			if ev.data != nil {
				ev.data = append(ev.data, '\n')
			}
			ev.data = append(ev.data, value...)
		}
	}
	if err := e.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.EOF
}
