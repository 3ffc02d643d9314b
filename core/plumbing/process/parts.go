package process

import (
	"context"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"verbenashift/core/peer"
	"verbenashift/core/plumbing/keys"
	"verbenashift/core/plumbing/telemetry"
)

// milli is what the settings count sampling in.
const milli = 1000

// Tracer returns a tracer that ends with the program. Export is where spans go, perMil how
// many of a thousand requests are traced.
func Tracer(lc fx.Lifecycle, program, instance, export string, perMil int) (trace.Tracer, error) {
	tracer, stop, err := telemetry.NewTracer(context.Background(), telemetry.TraceConfig{
		Program: program, Instance: instance, Export: export, Ratio: float64(perMil) / milli,
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(stop))
	return tracer, nil
}

// Dialer returns what connects to the other processes with the keys in files.
func Dialer(f keys.Files) (*peer.Dialer, error) {
	tls, err := f.Client()
	if err != nil {
		return nil, err
	}
	return peer.NewDialer(peer.DialConfig{TLS: tls}), nil
}
