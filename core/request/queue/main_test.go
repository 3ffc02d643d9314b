package queue

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed; the flag -rapid.seed=0 draws a random one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
