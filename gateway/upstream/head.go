package upstream

import (
	"bufio"
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

// bufferHead reads until the buffer of the connection has the whole head of the next answer.
// The error is a *TooLongError if the head exceeds a limit, or that of room.
func (c *conn) bufferHead(ctx context.Context, room Room) error {
	var scan heads.Scan
	for {
		b, err := c.br.Peek(c.br.Buffered())
		if err != nil {
			return err
		}
		switch ended := scan.Ends(b); {
		case scan.Lines() > maxLines:
			return &TooLongError{PartLines, int64(scan.Lines()), maxLines}
		case ended:
			return nil
		case len(b) >= maxHead:
			return &TooLongError{PartHead, int64(len(b)), maxHead}
		case len(b) == c.br.Size():
			if err := c.enlarge(ctx, room); err != nil {
				return err
			}
			scan = heads.Scan{}
			continue
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
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
