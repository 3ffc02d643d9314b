package keys_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/plumbing/keys"
)

// Guards against an agent that listens on a network address without keys: prompts
// would cross the network in clear text.
func TestClearTextStaysOnLoopback(t *testing.T) {
	for addr, ok := range map[string]bool{"127.0.1.13:7000": true, "[::1]:7000": true, "10.0.0.5:7000": false, "0.0.0.0:7000": false} {
		is := is.New(t)
		err := keys.Files{}.Check(addr)
		var clearText *keys.ClearTextError
		is.Equal(errors.As(err, &clearText), !ok)
	}
	is.New(t).NoErr(keys.Files{Cert: "cert.pem"}.Check("10.0.0.5:7000"))
}

func TestMissingKeysAreAnError(t *testing.T) {
	is := is.New(t)
	_, err := keys.Files{Cert: "missing.pem", Key: "missing.key"}.Server()
	is.True(err != nil)
	cfg, err := keys.Files{}.Client()
	is.NoErr(err)
	is.True(cfg == nil) // clear text
}
