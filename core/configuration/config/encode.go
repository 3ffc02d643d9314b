package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// MaxBytes is the largest encoded configuration: the size limit of one value in
// the platform's store, in bytes. It applies to the uncompressed JSON text, so
// that whether a change fits does not depend on how well it compresses.
const MaxBytes = 1 << 20

// Encode returns the JSON text of c, or a *TooLargeError.
func Encode(c Config) ([]byte, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(text) > MaxBytes {
		return nil, &TooLargeError{Bytes: len(text), Limit: MaxBytes}
	}
	return text, nil
}

// EncodeGzip returns the compressed JSON text of c, as peers exchange it.
func EncodeGzip(c Config) ([]byte, error) {
	text, err := Encode(c)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return buf.Bytes(), nil
}

// Decode reads what Encode or EncodeGzip wrote and validates it. Unknown
// fields are ignored, so that a node of an earlier version can still read the
// document of a later one.
func Decode(data []byte) (Config, error) {
	text, err := inflate(data)
	if err != nil {
		return Config{}, err
	}
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return Config{}, errors.Wrap(err, "decode configuration")
	}
	return c, Validate(c)
}

// DecodeStrict reads a document that an operator wrote. An unknown field is an
// error, since a misspelt one would silently have no effect.
func DecodeStrict(data []byte) (Config, error) {
	if len(data) > MaxBytes {
		return Config{}, &TooLargeError{Bytes: len(data), Limit: MaxBytes}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var c Config
	if err := d.Decode(&c); err != nil {
		return Config{}, errors.Wrap(err, "decode configuration")
	}
	if _, err := d.Token(); err != io.EOF {
		return Config{}, errors.New("decode configuration: text after the document")
	}
	return c, Validate(c)
}

// inflate decompresses data that begins with the gzip magic number. The
// limit guards against a small corrupt or malicious message of a peer that
// would expand until the node's 32 MB of memory are exhausted.
func inflate(data []byte) ([]byte, error) {
	if len(data) > MaxBytes {
		return nil, &TooLargeError{Bytes: len(data), Limit: MaxBytes}
	}
	if len(data) < 2 || data[0] != 0x1f || data[1] != 0x8b {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(text) > MaxBytes {
		return nil, &TooLargeError{Bytes: len(text), Limit: MaxBytes}
	}
	return text, nil
}
