package config_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"verbenashift/core/configuration/config"
)

// BenchmarkDecodeAndIndex measures the cost of one new revision with 930
// workspaces and 670 targets: decompress, decode, validate and index it.
func BenchmarkDecodeAndIndex(b *testing.B) {
	packed, err := config.EncodeGzip(sized(930, 670))
	is.New(b).NoErr(err)
	b.ReportAllocs()
	for b.Loop() {
		c, err := config.Decode(packed)
		if err != nil {
			b.Fatal(err)
		}
		config.NewIndex(c)
	}
}

func BenchmarkWorkspaceByToken(b *testing.B) {
	x := config.NewIndex(sized(930, 670))
	b.ReportAllocs()
	for b.Loop() {
		x.WorkspaceByToken("token-400")
	}
}

func TestLookupsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	c := sized(930, 670)
	c.Services = []config.Service{{Name: "desk", Routes: []config.Route{{Prefix: "/jobs", MayNotRepeat: true}}}}
	x := config.NewIndex(c)
	is.Equal(testing.AllocsPerRun(100, func() {
		x.WorkspaceByToken("token-400")
		x.TargetsOfModel("captions")
		x.MayNotRepeat("desk", http.MethodPost, "/jobs")
	}), 0.0)
}
