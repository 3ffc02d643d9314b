// Package quarantine tells which requests crash the targets that run them.
//
// Such a request is told by its content, not by its identifier: a caller sends it again
// under a new one, at any gateway. Print is what two requests with the same content have
// in common.
//
// # Usage
//
//	content := quarantine.Content{Method: "POST", Host: host, Target: uri, Workspace: name, Body: body}
//	print := content.Print()
package quarantine

// Crash is the end of a target with the requests whose answers broke off with it, as one
// gateway saw it.
type Crash struct {
	Target string `json:"target"`
	// Born is when the target had started, in Unix milliseconds: one with the same
	// identifier may have started again.
	Born     int64   `json:"born"`
	Requests []Print `json:"requests"`
}
