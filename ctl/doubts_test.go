package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a table that omits whose evidence a suspicion was based on.
func TestDoubts(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	p := &program{in: strings.NewReader(""), out: &out, err: &errs}
	is.Equal(p.run(t.Context(), strings.Fields("ctl doubts testdata/doubts.log")), exitOK)
	golden(t, "doubts", out.String())
	is.Equal(p.run(t.Context(), strings.Fields("ctl doubts testdata/missing.log")), exitFailure)
}
