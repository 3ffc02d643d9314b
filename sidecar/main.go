// Command sidecar is not written yet.
package main

import "time"

func main() { time.Sleep(time.Hour) }
