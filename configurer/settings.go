// Package configurer holds the settings of a host and checks them at start.
package configurer

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Settings are the settings of an entry host, each a flag and an environment
// variable.
type Settings struct {
	Host string `long:"host" env:"VERBENASTAND_HOST" required:"true" description:"Name of this host: lower-case letters, digits and hyphens"`
	Zone string `long:"zone" env:"VERBENASTAND_ZONE" required:"true" description:"Availability zone of this host"`

	CallAddress   string `long:"call-address" env:"VERBENASTAND_CALL_ADDRESS" required:"true" description:"IP address and TCP port that takes calls"`
	APIAddress    string `long:"api-address" env:"VERBENASTAND_API_ADDRESS" required:"true" description:"IP address and TCP port for asks, status and metrics"`
	PeerAddress   string `long:"peer-address" env:"VERBENASTAND_PEER_ADDRESS" required:"true" description:"IP address and UDP port for other hosts"`
	PeerAdvertise string `long:"peer-advertise" env:"VERBENASTAND_PEER_ADVERTISE" description:"IP address and UDP port that other hosts use, if not the peer address"`

	Platform string   `long:"platform" env:"VERBENASTAND_PLATFORM" required:"true" description:"URL of the configuration service and host list"`
	Peers    []string `long:"peer" env:"VERBENASTAND_PEERS" env-delim:"," description:"IP address and UDP port of a host to contact at start; may be repeated"`
	Fleet    int      `long:"fleet" env:"VERBENASTAND_FLEET" default:"14" description:"Greatest number of hosts of the deployment; the budget for probes and connections is divided by it"`

	CertFile string `long:"cert-file" env:"VERBENASTAND_CERT_FILE" required:"true" description:"Certificate of this host, PEM, with the DNS name entry.verbenastand"`
	KeyFile  string `long:"key-file" env:"VERBENASTAND_KEY_FILE" required:"true" description:"Private key of this host, PEM"`
	CAFile   string `long:"ca-file" env:"VERBENASTAND_CA_FILE" required:"true" description:"Certificate authority of the deployment, PEM"`

	AnswerValidity time.Duration `long:"answer-validity" env:"VERBENASTAND_ANSWER_VALIDITY" default:"5s" description:"How long a caller may keep an answer"`
	KeyValidity    time.Duration `long:"key-validity" env:"VERBENASTAND_KEY_VALIDITY" default:"2m" description:"How long an idempotency key may be used"`
	DrainTimeout   time.Duration `long:"drain-timeout" env:"VERBENASTAND_DRAIN_TIMEOUT" default:"5m" description:"Longest time a planned stop waits for requests in flight"`
	StartTimeout   time.Duration `long:"start-timeout" env:"VERBENASTAND_START_TIMEOUT" default:"5s" description:"Longest time to learn the configuration before serving"`

	ZoneRTT time.Duration `long:"zone-rtt" env:"VERBENASTAND_ZONE_RTT" default:"3ms" description:"Round-trip time to servers in other availability zones"`

	MaxBody       int64 `long:"max-body" env:"VERBENASTAND_MAX_BODY" default:"1073741824" description:"Largest request body in bytes"`
	MaxHeader     int   `long:"max-header" env:"VERBENASTAND_MAX_HEADER" default:"32768" description:"Largest request header in bytes"`
	MaxConcurrent int64 `long:"max-concurrent" env:"VERBENASTAND_MAX_CONCURRENT" default:"20000" description:"Most requests on this host at once"`
	MaxQueue      int   `long:"max-queue" env:"VERBENASTAND_MAX_QUEUE" default:"8192" description:"Most requests that wait for a slot of one service"`

	HeaderTimeout time.Duration `long:"header-timeout" env:"VERBENASTAND_HEADER_TIMEOUT" default:"5s" description:"Longest time a caller may take to send a request header"`
	IdleTimeout   time.Duration `long:"idle-timeout" env:"VERBENASTAND_IDLE_TIMEOUT" default:"90s" description:"How long an idle connection of a caller is kept"`
	StallTimeout  time.Duration `long:"stall-timeout" env:"VERBENASTAND_STALL_TIMEOUT" default:"30s" description:"Longest time a caller may take to accept or send a part of a body"`

	ProbeBudget float64       `long:"probe-budget" env:"VERBENASTAND_PROBE_BUDGET" default:"0.01" description:"Share of a server's slot time that the probes of all hosts may take"`
	ProbeCost   time.Duration `long:"probe-cost" env:"VERBENASTAND_PROBE_COST" default:"6ms" description:"Slot time that one probe takes"`

	TraceEndpoint string  `long:"trace-endpoint" env:"VERBENASTAND_TRACE_ENDPOINT" description:"URL of an OTLP/HTTP collector; no tracing if empty"`
	TraceShare    float64 `long:"trace-share" env:"VERBENASTAND_TRACE_SHARE" default:"0.01" description:"Part of the calls that are traced, from 0 to 1"`
	LogFormat     string  `long:"log-format" env:"VERBENASTAND_LOG_FORMAT" default:"text" choice:"text" choice:"json" description:"Form of the log lines"`
	Strict        bool    `long:"strict" env:"VERBENASTAND_STRICT" description:"Stop the process when an invariant does not hold, for tests"`
	LogLevel      string  `long:"log-level" env:"VERBENASTAND_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least level of the log lines"`
}

// Validate returns every fault of the settings, joined.
func (s Settings) Validate() error {
	var f faults
	for _, n := range []text{{"host", s.Host}, {"zone", s.Zone}} {
		if !verbenastand.ValidName(n.value) {
			f.add(n.flag, "%q is no valid name", n.value)
		}
	}
	f.checkAddresses([]text{
		{"call-address", s.CallAddress}, {"api-address", s.APIAddress}, {"peer-address", s.PeerAddress},
	}, s.PeerAdvertise, s.Peers)
	f.checkURL(text{"platform", s.Platform})
	f.checkURL(text{"trace-endpoint", s.TraceEndpoint})
	checkSpans(&f, []span[time.Duration]{
		{"answer-validity", s.AnswerValidity, 100 * time.Millisecond, time.Hour},
		{"key-validity", s.KeyValidity, time.Second, time.Hour},
		{"drain-timeout", s.DrainTimeout, 0, 24 * time.Hour},
		{"start-timeout", s.StartTimeout, 0, time.Hour},
		{"header-timeout", s.HeaderTimeout, 10 * time.Millisecond, time.Minute},
		{"idle-timeout", s.IdleTimeout, time.Second, time.Hour},
		{"stall-timeout", s.StallTimeout, 100 * time.Millisecond, time.Hour},
		{"zone-rtt", s.ZoneRTT, 0, time.Second},
		{"probe-cost", s.ProbeCost, time.Microsecond, time.Minute},
	})
	checkSpans(&f, []span[float64]{
		{"fleet", float64(s.Fleet), 1, 10_000},
		{"max-body", float64(s.MaxBody), 1, 1 << 50},
		{"max-header", float64(s.MaxHeader), 1024, 1 << 20},
		{"max-concurrent", float64(s.MaxConcurrent), 1, 1e7},
		{"max-queue", float64(s.MaxQueue), 1, 1e6},
		{"probe-budget", s.ProbeBudget, 1e-6, 0.5},
		{"trace-share", s.TraceShare, 0, 1},
	})
	return f.all()
}
