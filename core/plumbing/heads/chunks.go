package heads

import "bytes"

// Chunks searches for the end of a chunked body. The zero value is at its beginning. If the body is
// malformed no end is found: the server rejects it.
type Chunks struct {
	part chunkPart
	// left is how many bytes of the data of a chunk are to come, with the line end after it, or the size
	// in a line that has not ended.
	left int64
	// length counts the digits of that size, or the characters of a line of the trailer.
	length int
	// ignored is set within what follows the size in its line.
	ignored bool
}

// chunkPart is a part of a chunked body.
type chunkPart int

const (
	sizeLine chunkPart = iota
	chunkData
	trailer
	malformed
)

// maxDigits is the largest number of digits of the size of a chunk.
const maxDigits = 15

// End returns how many bytes of b belong to the body, and whether the body ends with them. Each call
// gets the bytes after those of the call before.
func (c *Chunks) End(b []byte) (n int, ended bool) {
	for n < len(b) {
		switch c.part {
		case sizeLine:
			c.readSize(b[n])
			n++
		case chunkData:
			skip := min(c.left, int64(len(b)-n))
			c.left -= skip
			n += int(skip)
			if c.left == 0 {
				*c = Chunks{}
			}
		case trailer:
			i := bytes.IndexByte(b[n:], '\n')
			if i < 0 {
				c.length += lengthOf(b[n:])
				return len(b), false
			}
			c.length += lengthOf(b[n : n+i])
			n += i + 1
			if c.length == 0 {
				return n, true
			}
			c.length = 0
		case malformed:
			return len(b), false
		}
	}
	return n, false
}

// lengthOf returns the length of a part of a line without its end.
func lengthOf(b []byte) int { return len(bytes.TrimSuffix(b, []byte("\r"))) }

// readSize reads a character of the line with the size of a chunk.
func (c *Chunks) readSize(b byte) {
	digit, ok := hexDigit(b)
	switch {
	case b == '\n':
		c.endSize()
	case c.ignored:
	case ok && c.length < maxDigits:
		c.left = c.left<<4 | digit
		c.length++
	case c.length > 0 && (b == ';' || b == '\r' || b == ' ' || b == '\t'):
		c.ignored = true
	default:
		c.part = malformed
	}
}

// endSize ends the line with the size of a chunk.
func (c *Chunks) endSize() {
	switch {
	case c.length == 0:
		c.part = malformed
	case c.left == 0:
		*c = Chunks{part: trailer}
	default:
		*c = Chunks{part: chunkData, left: c.left + int64(len("\r\n"))}
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (v int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
