// Package deployment starts a complete small deployment as separate processes
// on loopback addresses and injects faults into it.
//
// It builds the programs once, starts the stand-ins of the platform and of the
// targets, one agent per target and the entries, and puts a configuration in
// force. It provides what a test or a measurement needs: signals to each process
// by name, the fault switches of the stand-ins, links that can be cut, a load
// generator and the verdict from the stand-ins' ledgers.
//
// The processes are named "platform", "target-1", "agent-1", "entry-1" and so
// on. The targets of models come first, those of services after them; agent N
// runs beside target N.
//
// # Usage
//
//	d, err := deployment.Start(ctx, deployment.Shape{Block: "127.0.10", Entries: 2, ModelTargets: 4})
//	if err != nil {
//		return err
//	}
//	defer d.Close()
//	records := d.Play(ctx, lines)
//	_ = d.Kill9("agent-1")
//	verdict, err := d.Verdict(records)
package deployment
