package main

import (
	"encoding/json"
	"strings"
)

// progress is what the caller of a stream has had.
type progress struct {
	// delivered counts the data frames.
	delivered uint64
	// buf holds them one after the other, ends where each one ends; they are
	// kept for streams that may be continued on another target.
	buf  []byte
	ends []int
}

// add counts one frame and keeps its bytes if asked to.
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

// text returns the text that the caller has had, read from the kept frames.
// It is worked out only when a stream has to be continued.
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
