package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A caller was refused. Its history must contain its own lines, the queue of its
// gateway and what the steward logged, and no lines of other requests or of later.
func TestExplain(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	p := &program{in: strings.NewReader(""), out: &out, err: &errs}
	is.Equal(p.run(t.Context(), strings.Fields("ctl explain r1 testdata/gateway.log testdata/sidecar.log")), exitOK)
	golden(t, "explain", out.String())
}

func TestExplainErrors(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	p := &program{in: strings.NewReader(""), out: &out, err: &errs}
	is.Equal(p.run(t.Context(), strings.Fields("ctl explain")), exitUsage)
	is.Equal(p.run(t.Context(), strings.Fields("ctl explain r9 testdata/gateway.log")), exitFailure)
	is.Equal(p.run(t.Context(), strings.Fields("ctl explain r1 testdata/none.log")), exitFailure)
	is.True(strings.Contains(errs.String(), "no line of request r9"))
}
