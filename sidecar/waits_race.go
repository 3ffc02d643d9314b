//go:build race

package main

// waitScale multiplies the waits for other instances. The race detector makes all code some
// ten times slower, so that an agent that answers would be taken for one that does not.
const waitScale = 10
