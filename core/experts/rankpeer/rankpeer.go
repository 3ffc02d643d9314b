// Package rankpeer is the protocol between the agents beside the ranks of an
// expert group, and between these agents and gateways. A connection carries one
// request and its response at a time.
//
// # Usage
//
//	c, err := rankpeer.Dial(ctx, addr, timeout)
//	resp, err := c.Do(rankpeer.Request{Digest: true}, timeout)
package rankpeer

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"verbenashift/core/experts/engine"
	"verbenashift/core/experts/lockstep"
	"verbenashift/core/plumbing/messages"
	"verbenashift/core/plumbing/tcp"
)

// Request is a request of a coordinator to the agent beside a rank, or of a gateway
// to a coordinator.
type Request struct {
	// Digest requests the coordinator's digest of the group, and nothing else. List is
	// the number of the target list that the sender has.
	Digest bool
	List   uint64
	// Gateway names the instance that requests a digest. Event is the revision of the newest
	// store change that it has seen, or 0 if it cannot reach the store. Gap is the longest
	// pause between events that callers of the group may see, or 0.
	Gateway string
	Event   int64
	Gap     time.Duration
	// Zone is the gateway's availability zone, and Feed the address at which it can serve the
	// store's changes to others, or empty. FeedList is the number of the list of feeds that the
	// sender has from this agent.
	Zone     string
	Feed     string
	FeedList uint64
	// Classes is what the gateway has of requests for the group's service, or nil if these are of a
	// single class.
	Classes *Classes
	// Word identifies the group and the coordinator that sends the request. In a request
	// for a digest only the name of the group is used.
	Word lockstep.Announcement
	// Held reports that the group is held, or that the coordinator is about to hold it.
	Held bool
	// Counts and Placement request these in addition to the state of the rank.
	Counts    bool
	Placement bool
	// Order, if not nil, is sent to the rank before its state is read. Change is
	// the map of an order to prepare.
	Order  *engine.Order
	Change *Change
	// Roster is nil if the agent already has the current one.
	Roster *Roster
	// Turn is the agent's position, from 1, in the order in which agents take over from an
	// unreachable coordinator; 0 means that the rank's number decides.
	Turn int
	// Branch makes the agent a relay that queries other agents for the coordinator.
	Branch *BranchRequest
	// Relay is the address of the relay that sends this request to a member of its branch. It is
	// left out of most requests.
	Relay string
	// View is the coordinator's digest, which this agent serves to gateways. A request
	// with a View requests nothing else.
	View *Digest
}

// Response is the answer to a Request.
type Response struct {
	// Group is the group of the agent's rank as far as the agent knows it; its name is
	// empty if the rank has not answered yet.
	Group engine.GroupID
	// Refused is the reason why the request was refused, if it was.
	Refused lockstep.Refusal
	// Term is the highest term that the agent has seen.
	Term int64
	// Answered reports that the agent answered, even if only with a refusal. Only relays
	// set it, for the members of their branches.
	Answered bool
	// Known reports that the rank has answered, so that State is current.
	Known     bool
	State     engine.State
	Sample    *Sample
	Placement *engine.Placement
	// Status is the status of the rank's answer to the order; 0 means that there was none.
	Status int
	// NeedMap reports that the order was not sent because the agent does not have
	// the base map of the change.
	NeedMap bool
	// Digest is nil if the agent has no digest of the group.
	Digest *Digest
	// List is the number of the target list that a relay has from the digests that it
	// received.
	List uint64
	// Gateways is the number of gateways that recently requested digests from this agent.
	// Event and Gap summarize what they reported; see Request.
	Gateways int
	Event    int64
	Gap      time.Duration
	// Classes are the sums of what they reported of their requests, or nil.
	Classes *ClassSums
	// Feeds are candidates among these gateways; see FirstFeeds. FeedList is the number of that
	// list, or of the one in the digests that a relay has received. Feeds is left out if the
	// sender has that list.
	Feeds    []Feed
	FeedList uint64
	// Referral is the address of an agent that may have the digest that this one lacks: the relay
	// that queries this agent; or empty.
	Referral string
	// ShortWatch tells the requesting gateway that others rely on it to see store changes
	// promptly.
	ShortWatch bool
	// Branch is the response of a relay.
	Branch *BranchResponse
}

// Digest is the coordinator's summary of its group.
type Digest struct {
	Group engine.GroupID
	// Term is the coordinator's.
	Term int64
	// Open reports that the group serves requests: no rank is missing.
	Open bool
	// Pass is the current duration of a forward pass, 0 if unknown. Skew is the load of the
	// most loaded rank over the mean under the current map, 0 if unknown.
	Pass time.Duration
	Skew float32
	// Age is the age of the digest when it is sent.
	Age time.Duration
	// Event is the revision of the newest store change that any gateway has seen; 0
	// if none has reached the store recently.
	Event int64
	// List is the number of the target list. Targets is left out if the requester already
	// has that list. Running, Queued and Pace are in its order.
	List    uint64
	Targets []string
	Running []uint16
	Queued  []uint16
	// Pace is the relative duration of each server's part of a pass, in units of 1/PaceUnit.
	Pace []uint16
	// Gateways is the number of gateways that request this digest, here or at the relays.
	// What they share, such as a budget of retries, is divided by it.
	Gateways int
	// Classes are the sums of what these gateways have of requests, or nil if they reported none.
	// Their age is that when the digest was made.
	Classes *ClassSums
	// Feeds are the gateways that watch the store for others, or nil. FeedList is their number,
	// and Feeds is left out if the requester has that list.
	Feeds    []Feed
	FeedList uint64
	// Relays are the addresses of the agents that also serve this digest. It is empty in
	// groups whose coordinator answers gateways itself.
	Relays []string
}

// PaceUnit is the value in a Digest of pace 1, that of a server at its expected speed.
const PaceUnit = 10

// Conn is a connection to an agent. It carries one request at a time.
type Conn struct {
	conn *countingConn
	read *messages.Reader
	in   *gob.Decoder
	out  *gob.Encoder
}

// maxMessage is the longest message in bytes: the counts of a relay's sixteen ranks take some 400 KB.
const maxMessage = 2 << 20

// Dial connects to an agent.
func Dial(ctx context.Context, addr string, timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := tcp.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func newConn(nc net.Conn) *Conn {
	c := &countingConn{Conn: nc}
	r := messages.NewReader(c, maxMessage)
	return &Conn{conn: c, read: r, in: gob.NewDecoder(r), out: gob.NewEncoder(c)}
}

// Do sends a request and waits for the response. The connection must not be used
// after an error.
func (c *Conn) Do(req Request, timeout time.Duration) (Response, error) {
	var resp Response
	defer c.conn.record(req.kind(), "asked", "told")
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return resp, err
	}
	if err := c.out.Encode(req); err != nil {
		return resp, err
	}
	c.read.Next()
	err := c.in.Decode(&resp)
	return resp, err
}

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }

// idleTimeout is how long the peer may leave a connection unused.
const idleTimeout = 30 * time.Second

// Serve answers the requests on one connection, one at a time, until the connection
// fails or has been idle for too long. It returns the error that ended it.
func Serve(nc net.Conn, answer func(Request) Response) error {
	defer func() { _ = nc.Close() }()
	c := newConn(nc)
	for {
		if err := nc.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		var req Request
		c.read.Next()
		if err := c.in.Decode(&req); err != nil {
			return err
		}
		err := c.out.Encode(answer(req))
		c.conn.record(req.kind(), "answered", "heard")
		if err != nil {
			return err
		}
	}
}
