package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"verbenashift/core/peer/wire"
)

// Agent makes short calls to one agent. It is small, since an entry makes one
// for each of hundreds of agents: the library's own client takes tens of
// kilobytes for an address, which for a whole fleet would be a third of what a
// node may use.
type Agent struct {
	dialer  *Dialer
	address string
}

// Agent returns the client of the agent at addr, an IP address and port.
func (d *Dialer) Agent(addr string) Agent {
	return Agent{dialer: d, address: addr}
}

// addressKey is the key under which a call's context holds its agent's address.
type addressKey struct{}

// addressed sends each call to the address in its context.
type addressed struct {
	client *http.Client
}

// Do implements connect.HTTPClient.
func (a addressed) Do(r *http.Request) (*http.Response, error) {
	if addr, ok := r.Context().Value(addressKey{}).(string); ok {
		r.URL.Host, r.Host = addr, addr
	}
	return a.client.Do(r)
}

func (a Agent) to(ctx context.Context) context.Context {
	return context.WithValue(ctx, addressKey{}, a.address)
}

// Cancel stops a request whose caller has gone.
func (a Agent) Cancel(ctx context.Context, r *connect.Request[wire.CancelRequest]) (*connect.Response[wire.CancelResponse], error) {
	return a.dialer.service.Cancel(a.to(ctx), r)
}

// Claim asks the home of an idempotency key for the right to run it.
func (a Agent) Claim(ctx context.Context, r *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	return a.dialer.service.Claim(a.to(ctx), r)
}

// Seal makes an executor list its keys of a home and refuse older grants.
func (a Agent) Seal(ctx context.Context, r *connect.Request[wire.SealRequest]) (*connect.Response[wire.SealResponse], error) {
	return a.dialer.service.Seal(a.to(ctx), r)
}

// Release gives a key back whose attempt surely did not and will not run.
func (a Agent) Release(ctx context.Context, r *connect.Request[wire.ReleaseRequest]) (*connect.Response[wire.ReleaseResponse], error) {
	return a.dialer.service.Release(a.to(ctx), r)
}

// Settle asks an executor what became of an attempt, and makes it refuse
// the attempt for ever if it has not run.
func (a Agent) Settle(ctx context.Context, r *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleResponse], error) {
	return a.dialer.service.Settle(a.to(ctx), r)
}

// Transfer moves one key's record to its new home and seals it here.
func (a Agent) Transfer(ctx context.Context, r *connect.Request[wire.TransferRequest]) (*connect.Response[wire.TransferResponse], error) {
	return a.dialer.service.Transfer(a.to(ctx), r)
}

// Handover leaves an agent's register with a peer before a restart.
func (a Agent) Handover(ctx context.Context, r *connect.Request[wire.HandoverRequest]) (*connect.Response[wire.HandoverResponse], error) {
	return a.dialer.service.Handover(a.to(ctx), r)
}

// Recall takes a register back that was left with a peer.
func (a Agent) Recall(ctx context.Context, r *connect.Request[wire.RecallRequest]) (*connect.Response[wire.RecallResponse], error) {
	return a.dialer.service.Recall(a.to(ctx), r)
}

// Exchange carries heartbeats: incarnation, load, drain and revisions.
func (a Agent) Exchange(ctx context.Context, r *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	return a.dialer.service.Exchange(a.to(ctx), r)
}

// FetchConfig returns the configuration a peer has in force.
func (a Agent) FetchConfig(ctx context.Context, r *connect.Request[wire.FetchConfigRequest]) (*connect.Response[wire.FetchConfigResponse], error) {
	return a.dialer.service.FetchConfig(a.to(ctx), r)
}

// Order passes a fenced order on to the target.
func (a Agent) Order(ctx context.Context, r *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	return a.dialer.service.Order(a.to(ctx), r)
}

// Group carries one message of package group between two agents.
func (a Agent) Group(ctx context.Context, r *connect.Request[wire.GroupRequest]) (*connect.Response[wire.GroupResponse], error) {
	return a.dialer.service.Group(a.to(ctx), r)
}

// GroupMap returns the content of an expert map by its version.
func (a Agent) GroupMap(ctx context.Context, r *connect.Request[wire.GroupMapRequest]) (*connect.Response[wire.GroupMapResponse], error) {
	return a.dialer.service.GroupMap(a.to(ctx), r)
}

// GroupLoads returns the experts' loads as the agent's rank reports them.
func (a Agent) GroupLoads(ctx context.Context, r *connect.Request[wire.GroupLoadsRequest]) (*connect.Response[wire.GroupLoadsResponse], error) {
	return a.dialer.service.GroupLoads(a.to(ctx), r)
}

// GroupFetch has the agent's rank read a part of an expert's weights.
func (a Agent) GroupFetch(ctx context.Context, r *connect.Request[wire.GroupFetchRequest]) (*connect.Response[wire.GroupFetchResponse], error) {
	return a.dialer.service.GroupFetch(a.to(ctx), r)
}
