package engine

import (
	"bytes"
	"encoding/json"
	"net/http"

	"verbenashift/standin/answer"
)

const (
	textObject      = "text_completion"
	chatObject      = "chat.completion"
	chatChunkObject = "chat.completion.chunk"
	// finishReason is the same for every answer, since its length is fixed.
	finishReason = "length"
)

// body is a completion, or one chunk of a streamed one.
type body struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Delta        *delta          `json:"delta,omitempty"`
	Message      *answer.Message `json:"message,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// responder writes one generation to one HTTP response.
type responder struct {
	sub   *subscription
	g     *generation
	chat  bool
	usage bool
}

// stream sends the answer as server-sent events, one token per event. If the
// generation broke, it aborts the connection as a crashing engine would.
func (a *responder) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", a.g.run.RequestID)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	var buf bytes.Buffer
	for {
		from, to, st, err := a.sub.wait(r.Context())
		if err != nil {
			return
		}
		buf.Reset()
		for i := from; i < to; i++ {
			a.event(&buf, a.tokenChunk(i))
		}
		if st == stateDone {
			a.finish(&buf)
		}
		if _, err := w.Write(buf.Bytes()); err != nil {
			return
		}
		if rc.Flush() != nil || st == stateDone {
			return
		}
		if st > stateDone {
			panic(http.ErrAbortHandler)
		}
	}
}

// respond sends the complete answer as one JSON document.
func (a *responder) respond(w http.ResponseWriter, r *http.Request) {
	for {
		_, _, st, err := a.sub.wait(r.Context())
		if err != nil {
			return
		}
		if st > stateDone {
			panic(http.ErrAbortHandler)
		}
		if st == stateDone {
			break
		}
	}
	text := answer.Text(a.g.run.Model, a.g.prompt, a.g.total)[a.g.run.Resumed*answer.TokenBytes:]
	reason := finishReason
	c := choice{FinishReason: &reason}
	b := a.body()
	b.Object = textObject
	if a.chat {
		b.Object = chatObject
		c.Message = &answer.Message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	b.Choices = []choice{c}
	b.Usage = a.usageCounts()
	w.Header().Set("X-Request-Id", a.g.run.RequestID)
	writeJSON(w, http.StatusOK, b)
}

func (a *responder) body() body {
	object := textObject
	if a.chat {
		object = chatChunkObject
	}
	return body{ID: "cmpl-" + a.g.run.RequestID, Object: object, Model: a.g.run.Model}
}

func (a *responder) tokenChunk(i int) body {
	return a.textChunk(answer.Token(a.g.run.Model, a.g.prompt, i), nil)
}

func (a *responder) textChunk(text string, finish *string) body {
	c := choice{FinishReason: finish}
	if a.chat {
		c.Delta = &delta{text}
	} else {
		c.Text = &text
	}
	b := a.body()
	b.Choices = []choice{c}
	return b
}

// finish writes the final events: the chunk with the finish reason, the usage
// if requested, and the [DONE] marker.
func (a *responder) finish(buf *bytes.Buffer) {
	reason := finishReason
	a.event(buf, a.textChunk("", &reason))
	if a.usage {
		b := a.body()
		b.Choices = []choice{}
		b.Usage = a.usageCounts()
		a.event(buf, b)
	}
	buf.WriteString("data: [DONE]\n\n")
}

func (a *responder) event(buf *bytes.Buffer, b body) {
	buf.WriteString("data: ")
	data, _ := json.Marshal(b)
	buf.Write(data)
	buf.WriteString("\n\n")
}

func (a *responder) usageCounts() *usage {
	prompt := len(bytes.Fields([]byte(a.g.prompt)))
	return &usage{PromptTokens: prompt, CompletionTokens: a.g.total, TotalTokens: prompt + a.g.total}
}
