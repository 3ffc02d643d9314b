package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"

	"verbenashift/core/plumbing/heads"
)

const (
	// maxHead is the longest head of an answer in bytes, with its status line.
	maxHead = 32 << 10
	// maxLines is the largest number of lines of a head. A short line takes many times its
	// length once it is parsed.
	maxLines = 128
	// headRoom is the memory for a head that does not fit readBuffer: the buffer, and the
	// header that is parsed from it.
	headRoom = 2 * maxHead
)

// bufferHead reads until the buffer of the connection has the whole head of the next answer, and returns
// it. The error is a *TooLongError if the head exceeds a limit, or that of room.
func (c *conn) bufferHead(ctx context.Context, room Room) ([]byte, error) {
	var scan heads.Scan
	for {
		b, err := c.br.Peek(c.br.Buffered())
		if err != nil {
			return nil, err
		}
		switch ended := scan.Ends(b); {
		case scan.Lines() > maxLines:
			return nil, &TooLongError{PartLines, int64(scan.Lines()), maxLines}
		case ended:
			return b[:scan.Size()], nil
		case len(b) >= maxHead:
			return nil, &TooLongError{PartHead, int64(len(b)), maxHead}
		case len(b) == c.br.Size():
			if err := c.enlarge(ctx, room); err != nil {
				return nil, err
			}
			scan = heads.Scan{}
			continue
		}
		if err := c.fill(); err != nil {
			return nil, err
		}
	}
}

// hasFaultyFraming reports whether a head is one of HTTP/1.0 with a Transfer-Encoding, which that version does not
// have. RFC 9112, section 6.1, has the framing of such an answer treated as faulty; net/http ignores the
// field.
func hasFaultyFraming(head []byte) bool {
	return bytes.HasPrefix(head, []byte("HTTP/1.0")) && heads.HasField(head, "Transfer-Encoding")
}

// fill reads more bytes into the buffer of the connection.
func (c *conn) fill() error {
	_, err := c.br.Peek(c.br.Buffered() + 1)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// enlarge replaces the buffer of the connection by one for the longest head.
func (c *conn) enlarge(ctx context.Context, room Room) error {
	if room != nil {
		if err := room.Extend(ctx, headRoom); err != nil {
			return err
		}
	}
	c.br = bufio.NewReaderSize(c.br, maxHead)
	c.enlarged = true
	return nil
}
