package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against logs from which an operator cannot tell which class pays for a burst, why a request
// of it was refused, and how many slots passes have left usable.
func TestClassesFromLogs(t *testing.T) {
	for name, args := range map[string]string{
		"explain-class":     "explain summary-1",
		"shares-class":      "shares -by class",
		"stewards-headroom": "stewards",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			p := &program{in: strings.NewReader(""), out: &out, err: &errs}
			is.Equal(p.run(t.Context(), strings.Fields("ctl "+args+" testdata/classes.log")), exitOK)
			golden(t, name, out.String())
		})
	}
}
