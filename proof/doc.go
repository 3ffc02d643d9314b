// Package proof holds the proofs under failure: tests that start the programs
// as separate processes, break something, and judge by the stand-ins' ledgers.
//
// # Usage
//
//	go test verbenashift/proof
package proof
