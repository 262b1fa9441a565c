// Package tracer sets up OpenTelemetry tracing.
package tracer

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	verbenastand "github.com/verbenastand/verbenastand"
)

const name = "verbenastand"

// Config is the configuration of a tracer.
type Config struct {
	// Endpoint is the URL of an OTLP/HTTP collector. Tracing is off if it is empty.
	Endpoint string
	Instance verbenastand.Instance
	// SampleRatio is the fraction of requests that are traced if the caller makes
	// no sampling decision.
	SampleRatio float64
}

// NewTracer returns a tracer and a function that flushes pending spans and shuts
// the exporter down. The W3C trace context is propagated even if tracing is off.
func NewTracer(ctx context.Context, c Config) (trace.Tracer, func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if c.Endpoint == "" {
		return noop.NewTracerProvider().Tracer(name), func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Endpoint))
	if err != nil {
		return nil, nil, fmt.Errorf("tracer: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", name),
			attribute.String("service.instance.id", c.Instance.String()),
		)),
	)
	return provider.Tracer(name), provider.Shutdown, nil
}
