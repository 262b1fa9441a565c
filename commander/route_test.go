package commander

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/carrier"
	"github.com/verbenastand/verbenastand/inspector"
)

type noRoute struct{}

func (noRoute) Explain(carrier.RouteQuery) carrier.Decision {
	return carrier.Decision{Version: 7, Step: carrier.RefusedStep, Reason: verbenastand.ReasonNoRoute}
}

// Guards against a command that fails silently, or that reads what a host doesn't write.
func TestRouteAsksAHost(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle("GET "+inspector.Path, inspector.NewHandler("front-1", noRoute{}))
	host := httptest.NewServer(mux)
	defer host.Close()
	older := httptest.NewServer(http.NotFoundHandler())
	defer older.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	request := []string{"--host-name", "a.example", "--path", "/x/1"}
	cases := []struct {
		name      string
		args      []string
		code      int
		out, errs string
	}{
		{"text", append([]string{"--metrics-address", address(host)}, request...), exitOK, "verdict refused: noRoute", ""},
		{"JSON", append([]string{"--json", "--metrics-address", address(host)}, request...), exitOK, `"reason": "noRoute"`, ""},
		{"no path", []string{"--metrics-address", address(host), "--host-name", "a.example"}, exitUsage, "", "path"},
		{"a host of an earlier version", append([]string{"--metrics-address", address(older)}, request...), exitError, "", "404"},
		{"no host", append([]string{"--metrics-address", "127.0.0.1:1"}, request...), exitError, "", "refused"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			require.Equal(t, tc.code, Run(Config{Args: append([]string{"route"}, tc.args...), Stdout: &out, Stderr: &errs}))
			require.Contains(t, out.String(), tc.out)
			require.Contains(t, errs.String(), tc.errs)
		})
	}
}
