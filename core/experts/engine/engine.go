// Package engine holds the project's own types for the model engines that are ranks of an
// expert group: their state, and the orders that they are given.
//
// The engines of a group run every forward pass together. A GroupID names the group that an
// engine belongs to, in one membership epoch; a State is what the engine reports of itself;
// Counts are how often its requests chose each expert; and a Placement says where the experts
// are. A coordinator changes the expert map by Orders.
//
// # Usage
//
//	if st.GroupID() == group && st.Prepared == version {
//		order = engine.Order{Kind: engine.ArmMap, Epoch: st.Epoch, Expect: st.Seq, Version: version, Step: step}
//	}
package engine

import "fmt"

// GroupID names an expert group in one membership epoch. When a group has lost a rank, the
// platform forms it again in a new epoch; nothing reported in an earlier epoch holds in a
// later one. The name is opaque.
type GroupID struct {
	Name  string
	Epoch int64
}

// String returns the name and the epoch for logs.
func (g GroupID) String() string { return fmt.Sprintf("%s@%d", g.Name, g.Epoch) }

// Older reports whether g is an earlier epoch of the same group.
func (g GroupID) Older(than GroupID) bool { return g.Name == than.Name && g.Epoch < than.Epoch }

// State is what the engine of a rank reports of itself.
type State struct {
	Group string
	Epoch int64
	// Born is when the server started, in Unix milliseconds by its own clock; 0 if it does not
	// report it. A server that restarts under the same ID has lost all earlier state.
	Born int64
	Rank int
	Size int
	// Open is false while the group has lost a rank.
	Open bool
	// Seq counts the orders that the server has begun since its start.
	Seq int64
	// Step is the last forward pass that was begun.
	Step int64
	// Map is the number of the map in force; 0 is the first map of an epoch. Prepared is the
	// number of the newest map whose copy is complete.
	Map      int64
	Prepared int64
	// ArmedMap takes effect as pass ArmedStep begins; both are 0 if none is.
	ArmedMap  int64
	ArmedStep int64
	// Held is the pass that the group does not begin until this rank releases it; 0 means
	// none.
	Held int64
	// Busy says that an order, such as a copy, is in progress.
	Busy bool
	// Running and Queued are the requests at the rank.
	Running, Queued int
	// Pace is over 1 while the server is slow.
	Pace float64
}

// GroupID returns the group and epoch that the rank belongs to.
func (s *State) GroupID() GroupID { return GroupID{Name: s.Group, Epoch: s.Epoch} }

// Counts are how often the requests of a rank chose each expert since the rank started: one
// number for each expert, one set of experts after another.
type Counts struct {
	Epoch  int64
	Step   int64
	Values []int64
}

// Placement is the experts of one rank in the map in force, by set.
type Placement struct {
	Epoch   int64
	Map     int64
	Experts [][]int
}

// OrderKind is what an order makes a rank do.
type OrderKind string

// The orders.
const (
	// PrepareMap copies the experts of a new map beside those in use.
	PrepareMap OrderKind = "prepare"
	// ArmMap makes the rank switch to a prepared map as a pass begins.
	ArmMap OrderKind = "arm"
	// DisarmMap reverts ArmMap.
	DisarmMap OrderKind = "disarm"
	// HoldPass keeps the whole group from beginning a pass.
	HoldPass OrderKind = "hold"
	// ReleasePass ends a hold.
	ReleasePass OrderKind = "go"
)

// Order is one order to the server of a rank.
type Order struct {
	Kind  OrderKind
	Epoch int64
	// Expect is the Seq that the rank must have.
	Expect int64
	// Fence is the coordinator's fencing token.
	Fence int64
	// Version is the number of the map, Step the pass, where they apply.
	Version int64
	Step    int64
	// Map is the experts by set and rank.
	Map [][][]int
}
