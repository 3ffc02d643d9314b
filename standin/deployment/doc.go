// Package deployment starts a whole small deployment as separate processes on
// loopback and breaks it on purpose.
//
// It builds the programs once, starts the platform's and the targets'
// stand-ins, an agent by each target and the entries, puts a configuration in
// force and hands out what a test or a measurement needs: signals to each
// process by its name, the stand-ins' fault switches, links that can be cut, a
// calling client and the verdict of the stand-ins' ledgers.
//
// The processes are named "platform", "target-1", "agent-1", "entry-1" and so
// on. The models' targets come first, the services' after them; agent N stands
// beside target N.
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
