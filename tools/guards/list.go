package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
)

// Guard is an entry of guards.json: a check in the code that prevents one failure,
// and the test that must fail without it.
type Guard struct {
	Name string `json:"name"`
	// Promise is the guarantee of the design that the guard protects, or the topic
	// that it belongs to.
	Promise string `json:"promise"`
	// CI reports whether the guard is checked in CI, which runs only some of them.
	CI bool `json:"ci,omitempty"`
	// Failure is the failure that the guard prevents, Shows its visible effect
	// without the guard.
	Failure string `json:"failure"`
	Shows   string `json:"shows"`
	// File is relative to the root; Function is Name or Type.Name in it.
	File     string `json:"file"`
	Function string `json:"function"`
	// Old occurs exactly once in the function; New replaces it.
	Old string `json:"old"`
	New string `json:"new"`
	// Package is the import path whose tests matching Tests must then fail.
	Package string `json:"package"`
	Tests   string `json:"tests"`
	// Alone reports whether the test starts processes on fixed addresses, so that
	// it can't run at the same time as others that do.
	Alone bool `json:"alone,omitempty"`
	// Surviving explains why no test fails without the guard.
	Surviving string `json:"surviving,omitempty"`
}

// readList reads the guards from a file. An incomplete entry or a duplicate name
// is an error.
func readList(file string) ([]Guard, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parseList(raw)
}

func parseList(raw []byte) ([]Guard, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var guards []Guard
	if err := dec.Decode(&guards); err != nil {
		return nil, fmt.Errorf("list of guards: %w", err)
	}
	names := make(map[string]bool)
	for i, g := range guards {
		for _, field := range []string{g.Name, g.Promise, g.Failure, g.Shows, g.File, g.Function, g.Old, g.Package, g.Tests} {
			if field == "" {
				return nil, fmt.Errorf("guard %d %q: a required field is empty", i+1, g.Name)
			}
		}
		if names[g.Name] {
			return nil, fmt.Errorf("duplicate guard name %q", g.Name)
		}
		names[g.Name] = true
	}
	return guards, nil
}
