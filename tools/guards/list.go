package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
)

// Guard is an entry of the list.
type Guard struct {
	Name string `json:"name"`
	// Promise is the promise of the design that the guard carries, or the matter
	// it belongs to.
	Promise string `json:"promise"`
	// CI says that the bounded run of the checks includes the guard.
	CI bool `json:"ci,omitempty"`
	// Failure is the failure it is for, and Shows what a user sees without it.
	Failure string `json:"failure"`
	Shows   string `json:"shows"`
	// File is relative to the root; Function is Name or Type.Name in it.
	File     string `json:"file"`
	Function string `json:"function"`
	// Old stands once in the function and New takes its place.
	Old string `json:"old"`
	New string `json:"new"`
	// Package is the import path whose tests matching Tests must then fail.
	Package string `json:"package"`
	Tests   string `json:"tests"`
	// Alone says that the test starts processes on addresses of its own, so
	// that it can't run beside others of its kind.
	Alone bool `json:"alone,omitempty"`
	// Surviving says why no test fails yet.
	Surviving string `json:"surviving,omitempty"`
}

// readList reads the guards and refuses an entry that is not whole or whose
// name is taken.
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
				return nil, fmt.Errorf("guard %d %q: a field is missing", i+1, g.Name)
			}
		}
		if names[g.Name] {
			return nil, fmt.Errorf("guard %q stands twice", g.Name)
		}
		names[g.Name] = true
	}
	return guards, nil
}
