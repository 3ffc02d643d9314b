package quarantine

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
)

func content() Content {
	return Content{Method: "POST", Host: "desk.example", Target: "/a/1?q=2", Workspace: "harbor", Body: []byte("words")}
}

func TestFingerprintsDifferByContent(t *testing.T) {
	for name, change := range map[string]func(*Content){
		"method":                 func(c *Content) { c.Method = "PUT" },
		"host":                   func(c *Content) { c.Host = "other.example" },
		"path":                   func(c *Content) { c.Target = "/a/2?q=2" },
		"query":                  func(c *Content) { c.Target = "/a/1?q=3" },
		"workspace":              func(c *Content) { c.Workspace = "rival" },
		"body":                   func(c *Content) { c.Body = []byte("word") },
		"bytes in another field": func(c *Content) { c.Target, c.Workspace = "/a/1?q=2h", "arbor" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			same, other := content(), content()
			change(&other)
			is.Equal(same.Fingerprint(), (&Content{"POST", "desk.example", "/a/1?q=2", "harbor", []byte("words")}).Fingerprint())
			is.True(same.Fingerprint() != other.Fingerprint())
		})
	}
}

func TestFingerprintAsText(t *testing.T) {
	is := is.New(t)
	c := content()
	data, err := json.Marshal(c.Fingerprint())
	is.NoErr(err)
	var back Fingerprint
	is.NoErr(json.Unmarshal(data, &back))
	is.Equal(back, c.Fingerprint())
	is.Equal(len(back.Short()), shortDigits)
	for _, text := range []string{"", "ab", "zz" + back.String()[2:], back.String() + "00"} {
		var bad *FingerprintError
		is.True(errors.As(back.UnmarshalText([]byte(text)), &bad))
		is.Equal(bad.Text, text)
	}
}

// BenchmarkFingerprint measures what each answered request costs a gateway.
func BenchmarkFingerprint(b *testing.B) {
	c := content()
	c.Body = make([]byte, 4<<10)
	for b.Loop() {
		c.Fingerprint()
	}
}
