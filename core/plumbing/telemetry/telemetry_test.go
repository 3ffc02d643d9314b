package telemetry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	coltrace "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"verbenashift/core/plumbing/telemetry"
)

// Guards against spans of the entry and of the agent that arrive at the collector
// as separate traces: an operator could not see where a slow request waited.
func TestSpansOfTwoProcessesAreOneTrace(t *testing.T) {
	is := is.New(t)
	got := make(chan *coltrace.ExportTraceServiceRequest, 4)
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var m coltrace.ExportTraceServiceRequest
		if r.URL.Path == "/v1/traces" && proto.Unmarshal(body, &m) == nil {
			got <- &m
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer collector.Close()
	cfg := telemetry.TraceConfig{Export: strings.TrimPrefix(collector.URL, "http://"), Ratio: 1}
	entry, stopEntry, err := telemetry.NewTracer(t.Context(), cfg)
	is.NoErr(err)
	cfg.Ratio = 0 // the agent follows the entry's sampling decision
	agent, stopAgent, err := telemetry.NewTracer(t.Context(), cfg)
	is.NoErr(err)

	ctx, first := entry.Start(t.Context(), "entry.request")
	_, second := agent.Start(telemetry.Extract(context.Background(), telemetry.Inject(ctx)), "agent.queue")
	second.End()
	first.End()
	is.NoErr(stopEntry(t.Context()))
	is.NoErr(stopAgent(t.Context()))

	a := (<-got).ResourceSpans[0].ScopeSpans[0].Spans[0]
	b := (<-got).ResourceSpans[0].ScopeSpans[0].Spans[0]
	is.True(bytes.Equal(a.TraceId, b.TraceId))
	is.True(bytes.Equal(b.ParentSpanId, a.SpanId))
}

func TestNoCollectorNoTrace(t *testing.T) {
	is := is.New(t)
	tracer, stop, err := telemetry.NewTracer(t.Context(), telemetry.TraceConfig{})
	is.NoErr(err)
	ctx, span := tracer.Start(t.Context(), "x")
	span.End()
	is.Equal(telemetry.Inject(ctx), "")
	is.NoErr(stop(t.Context()))
}

func TestLogIsJSONLines(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	telemetry.NewLogger(&buf, "entry", "e1").Info("serving", "revision", 3)
	var line struct {
		Program, Instance, Msg string
		Revision               int
	}
	is.NoErr(json.Unmarshal(buf.Bytes(), &line))
	is.Equal(line.Program+line.Instance+line.Msg, "entrye1serving")
	is.Equal(line.Revision, 3)
}
