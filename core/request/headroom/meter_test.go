package headroom

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var meterStart = time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)

// A pass that takes long is known only once it has ended, while requests still go to its group.
func TestCurrentPass(t *testing.T) {
	is := is.New(t)
	var m Meter
	_, ok := m.Current(meterStart)
	is.True(!ok)
	end := func(at, pause time.Duration) {
		for i := range 4 {
			m.Observe(pause, meterStart.Add(at+time.Duration(i)*time.Millisecond))
		}
	}
	current := func(at time.Duration) time.Duration {
		pass, ok := m.Current(meterStart.Add(at))
		is.True(ok)
		return pass
	}
	end(75*time.Millisecond, 75*time.Millisecond)
	is.Equal(current(80*time.Millisecond), 75*time.Millisecond)
	end(150*time.Millisecond, 75*time.Millisecond)
	is.Equal(current(200*time.Millisecond), 75*time.Millisecond)
	is.Equal(current(330*time.Millisecond), 180*time.Millisecond) // the one in progress
	end(350*time.Millisecond, 200*time.Millisecond)
	is.Equal(current(360*time.Millisecond), 200*time.Millisecond)
	// A single stream does not say how long a pass takes.
	m.Observe(500*time.Millisecond, meterStart.Add(425*time.Millisecond))
	is.Equal(current(430*time.Millisecond), 200*time.Millisecond)
	_, ok = m.Current(meterStart.Add(425*time.Millisecond + currentValid + 1))
	is.True(!ok)
}
