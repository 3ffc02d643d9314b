package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"verbenashift/core/peer/wire"
)

// Agent makes unary calls to one agent. It is small, since an entry creates one for each
// of hundreds of agents: the library's own client takes tens of kilobytes per address,
// which for a whole fleet would be a third of the memory that a node may use.
type Agent struct {
	dialer  *Dialer
	address string
}

// Agent returns the client of the agent at addr, an IP address and port.
func (d *Dialer) Agent(addr string) Agent {
	return Agent{dialer: d, address: addr}
}

// addressKey is the context key for the address of a call's agent.
type addressKey struct{}

// addressClient is an HTTP client that sends each call to the address in its context.
type addressClient struct {
	client *http.Client
}

// Do implements connect.HTTPClient.
func (c addressClient) Do(r *http.Request) (*http.Response, error) {
	if addr, ok := r.Context().Value(addressKey{}).(string); ok {
		r.URL.Host, r.Host = addr, addr
	}
	return c.client.Do(r)
}

func (a Agent) withAddress(ctx context.Context) context.Context {
	return context.WithValue(ctx, addressKey{}, a.address)
}

// Cancel stops a request whose caller has disconnected.
func (a Agent) Cancel(ctx context.Context, r *connect.Request[wire.CancelRequest]) (*connect.Response[wire.CancelResponse], error) {
	return a.dialer.service.Cancel(a.withAddress(ctx), r)
}

// Claim requests from the home of an idempotency key the right to run it.
func (a Agent) Claim(ctx context.Context, r *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	return a.dialer.service.Claim(a.withAddress(ctx), r)
}

// Seal has an executor list its keys of a home and reject older grants from then on.
func (a Agent) Seal(ctx context.Context, r *connect.Request[wire.SealRequest]) (*connect.Response[wire.SealResponse], error) {
	return a.dialer.service.Seal(a.withAddress(ctx), r)
}

// Release returns a key whose attempt has definitely not run and will not run.
func (a Agent) Release(ctx context.Context, r *connect.Request[wire.ReleaseRequest]) (*connect.Response[wire.ReleaseResponse], error) {
	return a.dialer.service.Release(a.withAddress(ctx), r)
}

// Settle queries the outcome of an attempt from its executor, and has the executor reject
// the attempt permanently if it has not run.
func (a Agent) Settle(ctx context.Context, r *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleResponse], error) {
	return a.dialer.service.Settle(a.withAddress(ctx), r)
}

// Transfer moves the record of one key from the agent to the key's new home, and seals it on
// the agent.
func (a Agent) Transfer(ctx context.Context, r *connect.Request[wire.TransferRequest]) (*connect.Response[wire.TransferResponse], error) {
	return a.dialer.service.Transfer(a.withAddress(ctx), r)
}

// Handover stores a backup of an agent's register on a peer before a restart.
func (a Agent) Handover(ctx context.Context, r *connect.Request[wire.HandoverRequest]) (*connect.Response[wire.HandoverResponse], error) {
	return a.dialer.service.Handover(a.withAddress(ctx), r)
}

// Recall retrieves a register that was stored on a peer.
func (a Agent) Recall(ctx context.Context, r *connect.Request[wire.RecallRequest]) (*connect.Response[wire.RecallResponse], error) {
	return a.dialer.service.Recall(a.withAddress(ctx), r)
}

// Exchange sends a heartbeat: incarnation, load, drain state and revisions.
func (a Agent) Exchange(ctx context.Context, r *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	return a.dialer.service.Exchange(a.withAddress(ctx), r)
}

// FetchConfig returns the configuration that a peer has in force.
func (a Agent) FetchConfig(ctx context.Context, r *connect.Request[wire.FetchConfigRequest]) (*connect.Response[wire.FetchConfigResponse], error) {
	return a.dialer.service.FetchConfig(a.withAddress(ctx), r)
}

// Order forwards an order with a fencing token to the target.
func (a Agent) Order(ctx context.Context, r *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	return a.dialer.service.Order(a.withAddress(ctx), r)
}

// Group sends one message of package group to another agent.
func (a Agent) Group(ctx context.Context, r *connect.Request[wire.GroupRequest]) (*connect.Response[wire.GroupResponse], error) {
	return a.dialer.service.Group(a.withAddress(ctx), r)
}

// GroupMap returns the content of an expert map by its version.
func (a Agent) GroupMap(ctx context.Context, r *connect.Request[wire.GroupMapRequest]) (*connect.Response[wire.GroupMapResponse], error) {
	return a.dialer.service.GroupMap(a.withAddress(ctx), r)
}

// GroupLoads returns the experts' loads as the agent's rank reports them.
func (a Agent) GroupLoads(ctx context.Context, r *connect.Request[wire.GroupLoadsRequest]) (*connect.Response[wire.GroupLoadsResponse], error) {
	return a.dialer.service.GroupLoads(a.withAddress(ctx), r)
}

// GroupFetch has the agent's rank read a part of an expert's weights.
func (a Agent) GroupFetch(ctx context.Context, r *connect.Request[wire.GroupFetchRequest]) (*connect.Response[wire.GroupFetchResponse], error) {
	return a.dialer.service.GroupFetch(a.withAddress(ctx), r)
}
