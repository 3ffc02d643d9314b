package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// One workspace is served and another is refused, which the table must show. An unknown
// grouping must be a usage error.
func TestShares(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	p := &program{in: strings.NewReader(""), out: &out, err: &errs}
	is.Equal(p.run(t.Context(), strings.Fields("ctl shares testdata/shares.log")), exitOK)
	golden(t, "shares", out.String())
	is.Equal(p.run(t.Context(), strings.Fields("ctl shares -by colour testdata/shares.log")), exitUsage)
	is.Equal(p.run(t.Context(), strings.Fields("ctl shares testdata/missing.log")), exitFailure)
}
