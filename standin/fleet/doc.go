// Package fleet is a small stand-in for the platform that runs verbenashift as
// gateways and sidecars: its metadata store, the model servers of expert groups,
// a plain service, and callers. It is based on the platform's specification.
//
// One process simulates all servers on loopback addresses. It writes a settings
// file for each gateway and sidecar, which run as separate processes. A ledger
// counts the requests that the servers ran; the callers keep their own record,
// and Judge compares the two.
//
// # Usage
//
//	f, err := fleet.Start(fleet.Shape{Dir: dir, Ranks: 4, Gateways: 2})
//	// start gateways and sidecars with the files of f.Boots
//	record := fleet.Play(ctx, f, 200)
//	verdict := fleet.Judge(f, record)
package fleet
