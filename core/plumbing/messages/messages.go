// Package messages limits the length of messages that are decoded from a connection. A decoder of gob
// takes messages of a gigabyte and more, and allocates what a peer sends.
//
// # Usage
//
//	r := messages.NewReader(conn, limit)
//	in := gob.NewDecoder(r)
//	for {
//		r.Next()
//		err := in.Decode(&message)
//	}
package messages

import (
	"fmt"
	"io"
)

// TooLongError reports a message over its limit.
type TooLongError struct {
	// Limit is the greatest length in bytes.
	Limit int64
}

// Error returns a message with the limit.
func (e *TooLongError) Error() string { return fmt.Sprintf("message longer than %d bytes", e.Limit) }

// Reader reads messages of a limited length. It is not safe for concurrent use.
type Reader struct {
	r           io.Reader
	limit, left int64
}

// NewReader returns a Reader whose first message begins with the next byte.
func NewReader(r io.Reader, limit int64) *Reader { return &Reader{r, limit, limit} }

// Next begins a message. What a decoder has read ahead of it is not counted.
func (r *Reader) Next() { r.left = r.limit }

// Read reads a part of the message. The error is a *TooLongError after the limit.
func (r *Reader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, &TooLongError{r.limit}
	}
	n, err := r.r.Read(b[:min(int64(len(b)), r.left)])
	r.left -= int64(n)
	return n, err
}
