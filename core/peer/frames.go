package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"verbenashift/core/peer/wire"
	"verbenashift/core/peer/wire/wireconnect"
)

// Streams of frames use Connect's streaming protocol on the wire, so that the other
// end can be any Connect client or handler. They are encoded and decoded here, because
// the library makes four allocations per frame and a frame carries a single token.
const (
	streamType = "application/connect+proto"
	// prefixSize is the size of the flags and the length before each message.
	prefixSize = 5
	// endFlag marks the last message, which is JSON and contains the error, if
	// any.
	endFlag = 0b10
	// readBufferSize is enough for a few dozen frames of one token.
	readBufferSize = 4 << 10
)

// FrameReader reads the answer of one call that streams frames. It is not safe for
// concurrent use.
type FrameReader struct {
	body io.ReadCloser
	buf  []byte
	// buf[r:w] are the bytes that are not yet read.
	r, w int
}

// Submit queues a request on the agent at addr.
func (d *Dialer) Submit(ctx context.Context, addr string, m *wire.SubmitRequest) (*FrameReader, error) {
	return d.stream(ctx, addr, wireconnect.AgentServiceSubmitProcedure, m)
}

// Attach resumes the stream of an earlier answer from the agent at addr.
func (d *Dialer) Attach(ctx context.Context, addr string, m *wire.AttachRequest) (*FrameReader, error) {
	return d.stream(ctx, addr, wireconnect.AgentServiceAttachProcedure, m)
}

func (d *Dialer) stream(ctx context.Context, addr, procedure string, m proto.Message) (*FrameReader, error) {
	body, err := appendMessage(nil, m)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.scheme+"://"+addr+procedure, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", streamType)
	req.Header.Set("Connect-Protocol-Version", "1")
	resp, err := d.streams.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Errorf("agent answered with status %d", resp.StatusCode)
	}
	return &FrameReader{body: resp.Body, buf: make([]byte, readBufferSize)}, nil
}

// appendMessage appends one message with its prefix.
func appendMessage(b []byte, m proto.Message) ([]byte, error) {
	start := len(b)
	b, err := proto.MarshalOptions{}.MarshalAppend(append(b, 0, 0, 0, 0, 0), m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	binary.BigEndian.PutUint32(b[start+1:], uint32(len(b)-start-prefixSize))
	return b, nil
}

// Receive reads the next frame into m, whose Data is reused and valid until the next
// call. It returns io.EOF after the last frame; a stream that ends in any other way is
// another error.
func (s *FrameReader) Receive(m *wire.Frame) error {
	prefix, err := s.next(prefixSize)
	if err != nil {
		return err
	}
	flags, size := prefix[0], binary.BigEndian.Uint32(prefix[1:])
	if size > maxMessage {
		return errors.Errorf("frame of %d bytes is over the limit", size)
	}
	b, err := s.next(int(size))
	if err != nil {
		return err
	}
	if flags == endFlag {
		return decodeEnd(b)
	}
	if flags != 0 {
		return errors.Errorf("frame has unknown flags %#x", flags)
	}
	return decodeFrame(b, m)
}

// next returns the next n bytes, valid until the next call. A stream that ends before
// them is truncated, which must not be mistaken for its end.
func (s *FrameReader) next(n int) ([]byte, error) {
	for s.w-s.r < n {
		s.reserve(n)
		k, err := s.body.Read(s.buf[s.w:])
		s.w += k
		if err == nil || s.w-s.r >= n {
			continue
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	b := s.buf[s.r : s.r+n]
	s.r += n
	return b, nil
}

// reserve ensures that the buffer has space for n bytes from r.
func (s *FrameReader) reserve(n int) {
	if s.r == s.w {
		s.r, s.w = 0, 0
	}
	if s.r+n <= len(s.buf) {
		return
	}
	buf := s.buf
	if n > len(buf) {
		buf = make([]byte, n)
	}
	s.w = copy(buf, s.buf[s.r:s.w])
	s.r, s.buf = 0, buf
}

// decodeEnd decodes the last message of a stream. It returns io.EOF if the message has no
// error.
func decodeEnd(b []byte) error {
	var end struct {
		Error *struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(b, &end); err != nil {
		return errors.Wrap(err, "decode end of stream")
	}
	if end.Error != nil {
		return errors.Errorf("agent ended the stream: %s: %s", end.Error.Code, end.Error.Message)
	}
	return io.EOF
}

// The field numbers of the fields in a data frame.
const (
	fieldSequence = 1
	fieldAttempt  = 2
	fieldKind     = 3
	fieldData     = 4
)

// decodeFrame decodes a data frame into m without allocating, and every other frame
// with the protobuf library.
func decodeFrame(b []byte, m *wire.Frame) error {
	data := m.Data[:0]
	m.Reset()
	m.Data = data
	for rest := b; len(rest) > 0; {
		number, kind, n := protowire.ConsumeTag(rest)
		if n < 0 {
			return protowire.ParseError(n)
		}
		rest = rest[n:]
		var v uint64
		switch {
		case number == fieldData && kind == protowire.BytesType:
			var value []byte
			value, n = protowire.ConsumeBytes(rest)
			m.Data = append(m.Data[:0], value...)
		case number <= fieldKind && kind == protowire.VarintType:
			v, n = protowire.ConsumeVarint(rest)
		default:
			return proto.Unmarshal(b, m)
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		switch number {
		case fieldSequence:
			m.Sequence = v
		case fieldAttempt:
			m.Attempt = uint32(v)
		case fieldKind:
			m.Kind = wire.FrameKind(v)
		}
		rest = rest[n:]
	}
	return nil
}

// Close closes the stream. The agent detects that its reader has disconnected.
func (s *FrameReader) Close() error {
	return s.body.Close()
}

// FrameWriter writes the frames of one answer. It is not safe for concurrent
// use.
type FrameWriter struct {
	w   http.ResponseWriter
	rc  *http.ResponseController
	buf []byte
}

// Send writes one frame and flushes it.
func (s *FrameWriter) Send(m *wire.Frame) error {
	b, err := appendMessage(s.buf[:0], m)
	if err != nil {
		return err
	}
	s.buf = b
	return s.flush()
}

func (s *FrameWriter) flush() error {
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return s.rc.Flush()
}

// end writes the last message.
func (s *FrameWriter) end(err error) error {
	text := []byte("{}")
	if err != nil {
		code := connect.CodeOf(err).String()
		text, _ = json.Marshal(map[string]map[string]string{"error": {"code": code, "message": err.Error()}})
	}
	s.buf = append(s.buf[:0], endFlag, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(s.buf[1:], uint32(len(text)))
	s.buf = append(s.buf, text...)
	return s.flush()
}

// HandleFrames returns a handler for a call that streams frames. The message of the
// call is decoded into a new M.
func HandleFrames[M any, P interface {
	*M
	proto.Message
}](serve func(ctx context.Context, m P, s *FrameWriter) error,
) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := P(new(M))
		if r.Header.Get("Content-Type") != streamType {
			http.Error(w, "content type is not "+streamType, http.StatusUnsupportedMediaType)
			return
		}
		if err := readMessage(w, r, m); err != nil {
			http.Error(w, "unreadable message", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", streamType)
		s := &FrameWriter{w: w, rc: http.NewResponseController(w)}
		_ = s.end(serve(r.Context(), m, s))
	})
}

// readMessage reads the single message of a call.
func readMessage(w http.ResponseWriter, r *http.Request, m proto.Message) error {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage+prefixSize))
	if err != nil {
		return err
	}
	if len(b) < prefixSize || b[0] != 0 || int(binary.BigEndian.Uint32(b[1:])) != len(b)-prefixSize {
		return errors.New("message prefix has unknown flags or a mismatched length")
	}
	return proto.Unmarshal(b[prefixSize:], m)
}
