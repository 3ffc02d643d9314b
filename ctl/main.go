// Ctl is the operators' command line over the administration API.
//
// It declares intents, shows and confirms plans, edits the configuration and
// shows the state of the fleet. It runs one command and exits, so that it does not
// need the dependency injection container of the other programs.
//
// # Usage
//
//	export VERBENASHIFT_SERVER=http://10.0.0.1:8081 VERBENASHIFT_TOKEN=...
//	ctl config put first.json
//	ctl intent declare -name month-end -preset lightbox -model captions
//	ctl plan show month-end.1
//	ctl plan confirm month-end.1
//	ctl status -wait-revision 2
//
// # Exit codes
//
//	0  done
//	1  failure
//	2  wrong usage
//	3  conflict: another change came first, or the plan is closed or out of bounds
//	4  not found
//	5  unavailable, or unknown whether the change took effect
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := &program{in: os.Stdin, out: os.Stdout, err: os.Stderr}
	code := p.run(ctx, os.Args)
	stop()
	os.Exit(code)
}
