// Package answer computes the answers of the fake model engine.
//
// An answer is a pure function of model, prompt and number of tokens, so
// an observer can tell a complete answer from a truncated, repeated or
// mismatched one without querying the engine.
//
// # Usage
//
//	want := answer.Text("captioner", "a jebena on a tray", 16)
//	if got != want {
//		return errMismatch
//	}
package answer

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultTokens is the length of an answer if the request sets no limit.
const DefaultTokens = 16

// TokenBytes is the length of the text of each token.
const TokenBytes = 1 + 8 + 1

// Message is one turn of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the messages of a chat as one prompt.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Token returns the text of token i, counted from 0: the letter w, the low 32
// bits of the xxHash64 of model, prompt and i in hex, and a space.
func Token(model, prompt string, i int) string {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(strconv.Itoa(i))
	var low [4]byte
	binary.BigEndian.PutUint32(low[:], uint32(d.Sum64()))
	return "w" + hex.EncodeToString(low[:]) + " "
}

// Text returns the text of the first n tokens.
func Text(model, prompt string, n int) string {
	var b strings.Builder
	b.Grow(n * TokenBytes)
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}
