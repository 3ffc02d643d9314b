// Package proof contains the fault-injection tests. They start the programs as
// separate processes, inject faults and verify the outcome against the ledgers of
// the stand-ins.
//
// # Usage
//
//	go test verbenashift/proof
package proof
