package settings_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/plumbing/settings"
)

type sample struct {
	name   string
	listen string
	wait   time.Duration
	slots  int
}

func declare(c *sample) *settings.Set {
	var s settings.Set
	s.Name("node", "name", &c.name, "the name")
	s.Address("node", "listen", &c.listen, "127.0.0.1:1", "where to listen")
	s.Duration("queue", "wait", &c.wait, time.Second, time.Millisecond, time.Minute, "longest wait")
	s.Int("queue", "slots", &c.slots, 4, 1, 64, "streams", "streams at once")
	return &s
}

func TestParse(t *testing.T) {
	tests := []struct {
		name, text, key, got string
		ok                   bool
	}{
		{name: "defaults", text: "[node]\nname = a\n", ok: true},
		{name: "missing required", text: "[node]\n", key: "name"},
		{name: "unknown key", text: "[node]\nname = a\nnmae = b\n", key: "nmae"},
		{name: "unknown section", text: "[node]\nname = a\n[quue]\nwait = 1s\n", key: "wait"},
		{name: "out of bounds", text: "[node]\nname = a\n[queue]\nslots = 65\n", key: "slots", got: "65"},
		{name: "not a duration", text: "[node]\nname = a\n[queue]\nwait = 5\n", key: "wait", got: "5"},
		{name: "host name for an IP number", text: "[node]\nname = a\nlisten = localhost:80\n", key: "listen", got: "localhost:80"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var c sample
			err := declare(&c).Parse("x.ini", []byte(tt.text))
			if tt.ok {
				is.NoErr(err)
				is.Equal(c.wait, time.Second) // the default is used
				return
			}
			var settingsErr *settings.Error
			is.True(errors.As(err, &settingsErr))
			is.Equal(settingsErr.Key, tt.key)
			is.Equal(settingsErr.Got, tt.got)
			is.True(settingsErr.Want != "")
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[node]\nname = a\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var c sample
		if declare(&c).Parse("x.ini", data) == nil && (c.slots < 1 || c.slots > 64) {
			t.Fatal("a value out of bounds was accepted")
		}
	})
}
