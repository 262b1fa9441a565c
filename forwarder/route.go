package forwarder

import (
	"encoding/base64"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	verbenastand "github.com/verbenastand/verbenastand"
)

const routeHeader = "Verbenastand-Route"

// routeObject is the route of a delegated request. The service is sent in a header field of
// its own.
type routeObject struct {
	Table         verbenastand.TableVersion `cbor:"v"`
	Name          verbenastand.RouteName    `cbor:"n"`
	HostName      string                    `cbor:"h"`
	PathPrefix    string                    `cbor:"p"`
	RetrySafety   verbenastand.RetrySafety  `cbor:"s,omitempty"`
	Timeout       time.Duration             `cbor:"t"`
	Target        time.Duration             `cbor:"g,omitempty"`
	MaxAttempts   int                       `cbor:"a"`
	PriorityLevel int                       `cbor:"l,omitempty"`
	// Restricted is set if the request may run in Regions only. Hosts of earlier versions
	// ignore both.
	Restricted bool                  `cbor:"x,omitempty"`
	Regions    []verbenastand.Region `cbor:"r,omitempty"`
}

func encodeRoute(r verbenastand.Route, table verbenastand.TableVersion) (string, error) {
	data, err := cbor.Marshal(routeObject{
		Table: table, Name: r.Name(), HostName: r.HostName(), PathPrefix: r.PathPrefix(), RetrySafety: r.RetrySafety(),
		Timeout: r.Timeout(), Target: r.Target(), MaxAttempts: r.MaxAttempts(), PriorityLevel: r.PriorityLevel(),
		Restricted: r.Regions().Restricted(), Regions: r.Regions().Names(),
	})
	if err != nil {
		return "", fmt.Errorf("forwarder: route: %w", err)
	}
	return base64.RawStdEncoding.EncodeToString(data), nil
}

// decodeRoute returns no route for an empty text, which hosts of earlier versions send.
func decodeRoute(text string) (*verbenastand.Route, verbenastand.TableVersion, error) {
	if text == "" {
		return nil, 0, nil
	}
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, 0, fmt.Errorf("forwarder: route: %w", err)
	}
	var o routeObject
	if err := cbor.Unmarshal(data, &o); err != nil {
		return nil, 0, fmt.Errorf("forwarder: route: %w", err)
	}
	if o.RetrySafety < verbenastand.AtMostOnce || o.RetrySafety > verbenastand.Bulk || o.Timeout <= 0 || o.Target < 0 || o.MaxAttempts <= 0 {
		return nil, 0, errMalformedOrigin
	}
	c := verbenastand.RouteConfig{
		Name: o.Name, HostName: o.HostName, PathPrefix: o.PathPrefix, RetrySafety: o.RetrySafety,
		Timeout: o.Timeout, Target: o.Target, MaxAttempts: o.MaxAttempts, PriorityLevel: o.PriorityLevel,
	}
	if o.Restricted {
		c.Regions = verbenastand.NewRegions(o.Regions)
	}
	route := verbenastand.NewRoute(c)
	return &route, o.Table, nil
}
