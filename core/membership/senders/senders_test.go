package senders

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against shares that grow because senders that restart are not counted.
func TestSendersThatRestartStayCounted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := Count{Window: 10 * time.Second}
	is.Equal(c.Value(), 0)
	c.Report(53, now)
	for at := time.Duration(0); at < c.Window; at += 200 * time.Millisecond {
		c.Report(3, now.Add(at))
		is.Equal(c.Value(), 53)
	}
	c.Report(3, now.Add(c.Window))
	is.Equal(c.Value(), 53)
	c.Report(3, now.Add(2*c.Window))
	is.Equal(c.Value(), 3)
}
