// Package rank is the client through which an agent uses the rank of an
// expert-parallel group in the engine beside it.
//
// The rank accepts the orders of package group as the argument of the engine's
// orders of kind "set-map". It reports its state, which an agent that has
// restarted reads back, the content of the maps in its memory, and the loads
// of the experts that it holds. A client sends each order once: whether an
// unanswered order took effect shows in the state.
//
// # Usage
//
//	c := rank.NewClient("127.0.0.1:9100", rank.Options{})
//	state, err := c.State(ctx)
//	err = c.Apply(ctx, rank.Order{Order: order, Placement: placement})
//	var refused *group.RefusedError
//	if errors.As(err, &refused) {
//		return refused.Reason
//	}
package rank

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"verbenashift/core/experts/expert"
	"verbenashift/core/experts/group"
)

// The paths that a rank serves beside the engine's orders.
const (
	StatePath   = "/v1/rank"
	MapsPath    = "/v1/rank/maps/"
	LoadsPath   = "/v1/rank/loads"
	WeightsPath = "/v1/rank/weights"
)

// OrderKind is the kind of the engine orders that carry an Order.
const OrderKind = "set-map"

// Placement is the content of one expert map: the placement of each layer.
type Placement []expert.Map

// Version returns the version of the content, which is a hash of it. It is never
// the zero Version.
func (p Placement) Version() group.Version {
	d := xxhash.New()
	var word [4]byte
	write := func(n int32) {
		binary.LittleEndian.PutUint32(word[:], uint32(n))
		_, _ = d.Write(word[:])
	}
	for _, layer := range p {
		write(int32(len(layer)))
		for _, e := range layer {
			write(e)
		}
	}
	return group.Version(max(d.Sum64(), 1))
}

// Order is an order in the form that a rank receives.
type Order struct {
	group.Order
	// Placement is the content of Version, for orders that make a rank load a map.
	Placement Placement `json:"placement,omitempty"`
}

// State is what a rank reports of itself.
type State struct {
	group.RankState
	// Stalls counts the steps for which the rank was stalled because it lacked an
	// outcome.
	Stalls uint64 `json:"stalls"`
}

// NotHeld marks an expert in Loads that the rank does not hold.
const NotHeld = -1

// Loads are the loads of a rank's experts.
type Loads struct {
	// UnixMillis is the wall time of the loads.
	UnixMillis int64 `json:"unix-millis"`
	// Version is the map that the rank had at that time.
	Version group.Version `json:"version"`
	// Layers holds for each layer the load of each expert on this rank, in any
	// unit, or NotHeld.
	Layers [][]float64 `json:"layers"`
}

// WeightsRequest selects a part of one expert's weights.
type WeightsRequest struct {
	Layer  int   `json:"layer"`
	Expert int32 `json:"expert"`
	// Offset and Length are in bytes.
	Offset int64 `json:"offset"`
	Length int64 `json:"length"`
}

// WeightsResponse is the response to a WeightsRequest.
type WeightsResponse struct {
	// Read is the number of bytes that have arrived.
	Read int64 `json:"read"`
}

// Refusal is the body of a 409 response to an order.
type Refusal struct {
	Error string `json:"error"`
	Fence uint64 `json:"fence"`
}
