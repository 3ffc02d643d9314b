package process

import (
	"context"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"verbenashift/core/peer"
	"verbenashift/core/plumbing/keys"
	"verbenashift/core/plumbing/telemetry"
)

// perMilleScale converts the sampling setting, in requests per thousand, to a ratio.
const perMilleScale = 1000

// Tracer returns a tracer that is shut down when the program stops. Export is the address of
// the span collector, perMille the number of requests per thousand that are traced.
func Tracer(lc fx.Lifecycle, program, instance, export string, perMille int) (trace.Tracer, error) {
	tracer, stop, err := telemetry.NewTracer(context.Background(), telemetry.TraceConfig{
		Program: program, Instance: instance, Export: export, Ratio: float64(perMille) / perMilleScale,
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(stop))
	return tracer, nil
}

// Dialer returns a dialer for the other processes that uses the keys in f.
func Dialer(f keys.Files) (*peer.Dialer, error) {
	tls, err := f.Client()
	if err != nil {
		return nil, err
	}
	return peer.NewDialer(peer.DialConfig{TLS: tls}), nil
}
