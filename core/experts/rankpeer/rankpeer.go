// Package rankpeer is what the agents beside the ranks of expert groups say to
// each other, and to gateways: asks and tells, one at a time on a connection.
//
// # Usage
//
//	c, err := rankpeer.Dial(ctx, addr, wait)
//	tell, err := c.Ask(rankpeer.Ask{Digest: true}, wait)
package rankpeer

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/plumbing/tcp"
)

// Request is what a steward asks of the agent beside a rank, or a gateway of the
// steward.
type Request struct {
	// Digest asks a steward for its view of the group, and nothing else. List is
	// the number of the list of targets that the asker has.
	Digest bool
	List   uint64
	// Gateway names the instance that asks for a digest. Event is the revision of the newest
	// change of the store that it has seen, 0 if the store does not answer it; Gap is the
	// longest pause between events that callers of the group are to see, or 0.
	Gateway string
	Event   int64
	Gap     time.Duration
	// Word says for which group a steward asks, and which steward it is. Of an ask for
	// a digest only the group's name counts.
	Word lockstep.Announcement
	// Held says that the group is held, or that the steward is about to hold it.
	Held bool
	// Counts and Placement ask for more than the state of the rank.
	Counts    bool
	Placement bool
	// Order, if there is one, is given to the rank before it is read. Change is
	// the map of an order to prepare.
	Order  *engine.Order
	Change *Change
	// Roster is nil if the agent has been told it.
	Roster *Roster
	// Turn is the agent's place in the order in which agents take over from a silent
	// steward, plus 1; 0 leaves it to the rank.
	Turn int
	// Branch has the agent ask others on the steward's behalf.
	Branch *BranchRequest
	// View is the steward's view, for gateways that ask this agent for it. An ask that
	// brings one asks for nothing else.
	View *Digest
}

// Response is the answer.
type Response struct {
	// Group is that of the agent's rank, as the agent knows it; its name is empty
	// if the rank has not answered yet.
	Group engine.GroupID
	// Refused says why nothing was done, if so.
	Refused lockstep.Refusal
	// Term is the highest that the agent has heard.
	Term int64
	// Answered says that the agent has answered, if only with a refusal. Only relays
	// tell it, of the members of their branches.
	Answered bool
	// Known says that the rank has answered; State is fresh then.
	Known     bool
	State     engine.State
	Sample    *Sample
	Placement *engine.Placement
	// Status is that of the answer to the order; 0 means none came.
	Status int
	// NeedMap says that the order was not given, because the agent does not have
	// the map that the change starts from.
	NeedMap bool
	// Digest is nil if the agent has no view of the group.
	Digest *Digest
	// List is the number of the list of targets that a relay has from the views that it
	// was given.
	List uint64
	// Gateways is how many gateways have asked this agent for digests lately, Event and Gap
	// what they have told; see Ask.
	Gateways int
	Event    int64
	Gap      time.Duration
	// ShortWatch says that others rely on the gateway that has asked to see changes of the store
	// soon.
	ShortWatch bool
	// Branch is the answer of a relay.
	Branch *BranchResponse
}

// Digest is a steward's view of its group.
type Digest struct {
	Group engine.GroupID
	// Term is the steward's.
	Term int64
	// Open says that the group serves: no rank is lost.
	Open bool
	// Pass is how long passes take now, 0 if it is not known; Skew is the most
	// loaded rank over the mean under the map in force, 0 if it is not known.
	Pass time.Duration
	Skew float32
	// Age is how old the view is when it is sent.
	Age time.Duration
	// Event is the revision of the newest change of the store that any gateway has seen; 0
	// if none has heard the store lately.
	Event int64
	// List numbers the list of targets; Targets is left out where the asker has
	// it. The loads are in its order.
	List    uint64
	Targets []string
	Running []uint16
	Queued  []uint16
	// Pace is the servers' paces in parts of PaceUnit.
	Pace []uint16
	// Gateways is how many gateways ask for this view, here or at the relays: what all of
	// them share, such as retries, is shared by that.
	Gateways int
	// Relays are where the agents listen that have this view as well; it is empty in
	// groups whose steward answers gateways itself.
	Relays []string
}

// PaceUnit is what a pace of 1, a server as fast as it should be, is in a Digest.
const PaceUnit = 10

// Conn is a connection to an agent. It serves one ask at a time.
type Conn struct {
	conn *counted
	in   *gob.Decoder
	out  *gob.Encoder
}

// Dial connects to an agent.
func Dial(ctx context.Context, addr string, wait time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c, err := tcp.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func newConn(nc net.Conn) *Conn {
	c := &counted{Conn: nc}
	return &Conn{conn: c, in: gob.NewDecoder(c), out: gob.NewEncoder(c)}
}

// Do asks and waits for the answer. After an error the connection is of no
// use any more.
func (c *Conn) Do(ask Request, wait time.Duration) (Response, error) {
	var tell Response
	defer c.conn.record(ask.kind(), "asked", "told")
	if err := c.conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return tell, err
	}
	if err := c.out.Encode(ask); err != nil {
		return tell, err
	}
	err := c.in.Decode(&tell)
	return tell, err
}

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }

// quiet is how long the other side may leave a connection unused.
const quiet = 30 * time.Second

// Serve answers the asks on one connection, in turn, until it breaks or is left
// unused. The error says why it has ended.
func Serve(nc net.Conn, answer func(Request) Response) error {
	defer func() { _ = nc.Close() }()
	c := newConn(nc)
	for {
		if err := nc.SetDeadline(time.Now().Add(quiet)); err != nil {
			return err
		}
		var ask Request
		if err := c.in.Decode(&ask); err != nil {
			return err
		}
		err := c.out.Encode(answer(ask))
		c.conn.record(ask.kind(), "answered", "heard")
		if err != nil {
			return err
		}
	}
}
