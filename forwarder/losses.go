package forwarder

import (
	"encoding/base64"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	lossesHeader = "Verbenastand-Losses"
	// maxLosses bounds the losses that a peer sends with a request, more than a request has
	// attempts.
	maxLosses = 16
)

// lossObject is a loss as it is sent with a delegated request.
type lossObject struct {
	Server    verbenastand.ServerID     `cbor:"s"`
	Service   verbenastand.ServiceName  `cbor:"v"`
	Address   string                    `cbor:"a,omitempty"`
	StartTime int64                     `cbor:"t,omitempty"`
	Instance  string                    `cbor:"i,omitempty"`
	Examined  bool                      `cbor:"x,omitempty"`
	State     verbenastand.ProcessState `cbor:"e,omitempty"`
	// Age is the time since the loss.
	Age time.Duration `cbor:"d"`
}

func encodeLosses(losses []verbenastand.LossFinding, now time.Time) (string, error) {
	var objects []lossObject
	for _, f := range losses[:min(len(losses), maxLosses)] {
		objects = append(objects, lossObject{
			Server: f.Loss.Server(), Service: f.Loss.Service(), Address: f.Loss.Address(), StartTime: f.Loss.StartTime(),
			Instance: f.Loss.Instance(), Examined: f.Examined, State: f.State, Age: max(0, now.Sub(f.Loss.At())),
		})
	}
	data, err := cbor.Marshal(objects)
	if err != nil {
		return "", fmt.Errorf("forwarder: losses: %w", err)
	}
	return base64.RawStdEncoding.EncodeToString(data), nil
}

// decodeLosses returns no losses for an empty text, which hosts of earlier versions send.
func decodeLosses(text string, now time.Time) ([]verbenastand.LossFinding, error) {
	if text == "" {
		return nil, nil
	}
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("forwarder: losses: %w", err)
	}
	var objects []lossObject
	if err := cbor.Unmarshal(data, &objects); err != nil {
		return nil, fmt.Errorf("forwarder: losses: %w", err)
	}
	if len(objects) > maxLosses {
		return nil, errMalformedOrigin
	}
	var losses []verbenastand.LossFinding
	for _, o := range objects {
		if o.Age < 0 || o.State < verbenastand.ProcessUnknown || o.State > verbenastand.ProcessRunning {
			return nil, errMalformedOrigin
		}
		losses = append(losses, verbenastand.LossFinding{Examined: o.Examined, State: o.State, Loss: verbenastand.NewLoss(verbenastand.LossConfig{
			Server: o.Server, Service: o.Service, Address: o.Address, StartTime: o.StartTime, Instance: o.Instance, At: now.Add(-o.Age),
		})})
	}
	return losses, nil
}
