package reader

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a host that stops following the platform because of one odd entry
// (issue 36): the other ones take effect.
func TestAnOddEntryDoesNotHideTheOthers(t *testing.T) {
	nested := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
	odd := []struct{ name, entry string }{
		{"nested", nested},
		{"nested objects", strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000)},
		{"a number too large", `{"number":1e999,"host":1e999}`},
		{"a port out of range", `{"host":"h","peerAddress":"127.0.0.1:99999"}`},
		{"another type", `"text"`},
		{"null", `null`},
		{"brackets in a text", `{"host":"]}[{\"\\"}`},
	}
	for _, tc := range odd {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				good := `{"number":7}`
				if strings.HasPrefix(r.URL.Path, "/v1/hosts") {
					good = `{"host":"host-1","zone":"z","peerAddress":"127.0.0.1:7000"}`
				}
				_, _ = w.Write([]byte("[" + tc.entry + ", " + good + ",\n" + tc.entry + "]"))
			}))
			defer server.Close()
			r := NewReader(Config{URL: server.URL})
			tickets, err := r.Tickets(t.Context(), 0, 0)
			require.NoError(t, err)
			require.Len(t, tickets, 3)
			require.JSONEq(t, `{"number":7}`, string(tickets[1]))
			hosts, err := r.Hosts(t.Context())
			require.NoError(t, err)
			require.Len(t, hosts, 1)
			require.EqualValues(t, "host-1", hosts[0].ID())
		})
	}
}

func TestMalformedListsAreRejected(t *testing.T) {
	for _, list := range []string{"", "{}", "[", "[1", "[1,", "[1,]", "[,1]", `["a]`, "[1]2", "[[1]", "[1}]"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(list)) }))
		tickets, err := NewReader(Config{URL: server.URL}).Tickets(t.Context(), 0, 0)
		for _, ticket := range tickets {
			require.NotContains(t, []string{""}, strings.TrimSpace(string(ticket)), list)
		}
		require.Error(t, err, list)
		server.Close()
	}
}
