// Package wire holds the messages of the platform's key-value service.
//
// They have the shape of the JSON gateway of etcd's version 3 protocol
// (rpc.proto and kv.proto, https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/):
// keys and values are base64, 64-bit integers are quoted, and fields with a
// zero value are left out. Only the fields in use here are declared.
//
// # Usage
//
//	body, err := json.Marshal(wire.RangeRequest{Key: []byte("config/head")})
//	resp, err := http.Post(base+wire.RangePath, "application/json", bytes.NewReader(body))
package wire

import (
	"strconv"
	"strings"
)

// The paths of the calls.
const (
	RangePath     = "/v3/kv/range"
	PutPath       = "/v3/kv/put"
	TxnPath       = "/v3/kv/txn"
	GrantPath     = "/v3/lease/grant"
	KeepAlivePath = "/v3/lease/keepalive"
	RevokePath    = "/v3/lease/revoke"
	WatchPath     = "/v3/watch"
)

// EraHeader is the header of all answers that counts how often the service has come back from an
// older copy of its data. It is absent, or 0, before the first time.
const EraHeader = "Store-Era"

// Names of enumerated values.
const (
	// TargetMod makes a Compare use the key's mod revision.
	TargetMod = "MOD"
	// ResultEqual makes a Compare test for equality.
	ResultEqual = "EQUAL"
	// TypeDelete marks a deletion event; put events have no type.
	TypeDelete = "DELETE"
)

// MaxValue is the largest value that the service accepts, in bytes.
const MaxValue = 1 << 20

// Int64 is a 64-bit integer, quoted in JSON as protobuf's JSON mapping defines
// it. An unquoted number is accepted as well.
type Int64 int64

// MarshalJSON writes the number in quotes.
func (i Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON reads a number with or without quotes.
func (i *Int64) UnmarshalJSON(b []byte) error {
	n, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	if err != nil {
		return err
	}
	*i = Int64(n)
	return nil
}

// Header is part of each response.
type Header struct {
	// Revision is the store's revision when it answered.
	Revision Int64 `json:"revision,omitempty"`
}

// KeyValue is one key with its value and revisions.
type KeyValue struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision Int64  `json:"mod_revision,omitempty"`
	Lease       Int64  `json:"lease,omitempty"`
}

// RangeRequest reads Key, or all keys from Key up to but excluding RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// PutRequest sets a key; Lease is 0 for none.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes Key.
type DeleteRangeRequest struct {
	Key []byte `json:"key,omitempty"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int64  `json:"deleted,omitempty"`
}

// Compare is one condition of a transaction. An absent key has mod revision 0.
type Compare struct {
	Key         []byte `json:"key,omitempty"`
	Target      string `json:"target,omitempty"`
	Result      string `json:"result,omitempty"`
	ModRevision Int64  `json:"mod_revision,omitempty"`
}

// RequestOp is one operation of a transaction; one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp answers the RequestOp at the same index.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest runs Success if all of Compare hold and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// Lease is the body of the lease requests and responses; TTL is in seconds.
type Lease struct {
	ID  Int64 `json:"ID,omitempty"`
	TTL Int64 `json:"TTL,omitempty"`
}

// KeepAliveLine is one line of the response to a renewal. A TTL of 0 means that
// the lease does not exist.
type KeepAliveLine struct {
	Result Lease  `json:"result"`
	Error  *Error `json:"error,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate holds the key and the first revision to watch.
type WatchCreate struct {
	Key           []byte `json:"key,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// WatchLine is one line of a watch.
type WatchLine struct {
	Result WatchResponse `json:"result"`
	Error  *Error        `json:"error,omitempty"`
}

// WatchResponse carries events, or reports that the watch was created or ended.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// Error is the body of an error response. Code is a gRPC status code.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}
