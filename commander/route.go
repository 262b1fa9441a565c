package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/verbenastand/verbenastand/inspector"
)

// maxRouteReport bounds the answer of a host.
const maxRouteReport = 8 << 20

type routeCommand struct {
	Address  string        `long:"metrics-address" env:"VERBENASTAND_METRICS_ADDRESS" required:"true" description:"IP address and TCP port for metrics of a gateway"`
	HostName string        `long:"host-name" required:"true" description:"Host name of the request"`
	Path     string        `long:"path" required:"true" description:"Path of the request"`
	Timeout  time.Duration `long:"timeout" description:"Time that the caller has; that of the route if 0"`
	JSON     bool          `long:"json" description:"Print JSON"`
	config   Config
}

// Execute prints where a gateway would send a request now.
func (r *routeCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	query := url.Values{inspector.ParameterHostName: {r.HostName}, inspector.ParameterPath: {r.Path}}
	if r.Timeout > 0 {
		query.Set(inspector.ParameterTimeoutMs, strconv.FormatInt(max(1, r.Timeout.Milliseconds()), 10))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address+inspector.Path+"?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRouteReport))
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("commander: %s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	var report inspector.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	if r.JSON {
		return queryFlags{}.print(r.config, report)
	}
	return inspector.Print(r.config.Stdout, report)
}
