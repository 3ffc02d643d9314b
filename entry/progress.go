package main

import (
	"encoding/json"
	"strings"
)

// progress records what the caller of a stream has received.
type progress struct {
	// delivered is the number of data frames.
	delivered uint64
	// buf holds the frames' bytes and ends the offset at which each frame ends.
	// They are retained for streams that may be continued on another target.
	buf  []byte
	ends []int
}

// add counts one frame and retains its bytes if keep is set.
func (p *progress) add(data []byte, keep bool) {
	p.delivered++
	if !keep {
		return
	}
	p.buf = append(p.buf, data...)
	p.ends = append(p.ends, len(p.buf))
}

// chunk is the part of a completion chunk that holds text.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// text returns the text that the caller has received, parsed from the retained
// frames. It is called only when a stream has to be continued.
func (p *progress) text() string {
	var sb strings.Builder
	start := 0
	for _, end := range p.ends {
		var c chunk
		if json.Unmarshal(p.buf[start:end], &c) == nil {
			for _, ch := range c.Choices {
				sb.WriteString(ch.Text)
				sb.WriteString(ch.Delta.Content)
			}
		}
		start = end
	}
	return sb.String()
}
