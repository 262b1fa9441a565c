// Package configurer defines the settings of a host and validates them at startup.
package configurer

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Settings holds the settings of an entry host. Each can be set by a flag or an
// environment variable.
type Settings struct {
	Host string `long:"host" env:"VERBENASTAND_HOST" required:"true" description:"Name of this host: lower-case letters, digits and hyphens"`
	Zone string `long:"zone" env:"VERBENASTAND_ZONE" required:"true" description:"Availability zone of this host"`

	CallAddress   string `long:"call-address" env:"VERBENASTAND_CALL_ADDRESS" required:"true" description:"IP address and TCP port for requests of callers"`
	APIAddress    string `long:"api-address" env:"VERBENASTAND_API_ADDRESS" required:"true" description:"IP address and TCP port for host lookups, status and metrics"`
	PeerAddress   string `long:"peer-address" env:"VERBENASTAND_PEER_ADDRESS" required:"true" description:"IP address and UDP port for traffic between hosts"`
	PeerAdvertise string `long:"peer-advertise" env:"VERBENASTAND_PEER_ADVERTISE" description:"IP address and UDP port under which other hosts reach this one, if different from the peer address"`

	Platform string   `long:"platform" env:"VERBENASTAND_PLATFORM" required:"true" description:"URL of the configuration service and host list"`
	Peers    []string `long:"peer" env:"VERBENASTAND_PEERS" env-delim:"," description:"IP address and UDP port of a host to contact at start; may be repeated"`
	Fleet    int      `long:"fleet" env:"VERBENASTAND_FLEET" default:"14" description:"Maximum number of hosts of the deployment; the budget for probes and connections is divided by it"`

	CertFile string `long:"cert-file" env:"VERBENASTAND_CERT_FILE" required:"true" description:"Certificate of this host, PEM, with the DNS name entry.verbenastand"`
	KeyFile  string `long:"key-file" env:"VERBENASTAND_KEY_FILE" required:"true" description:"Private key of this host, PEM"`
	CAFile   string `long:"ca-file" env:"VERBENASTAND_CA_FILE" required:"true" description:"Certificate authority of the deployment, PEM"`

	AnswerValidity time.Duration `long:"answer-validity" env:"VERBENASTAND_ANSWER_VALIDITY" default:"5s" description:"How long a caller may cache the list of hosts to use"`
	KeyValidity    time.Duration `long:"key-validity" env:"VERBENASTAND_KEY_VALIDITY" default:"2m" description:"How long an idempotency key is valid"`
	DrainTimeout   time.Duration `long:"drain-timeout" env:"VERBENASTAND_DRAIN_TIMEOUT" default:"5m" description:"Maximum time that a graceful shutdown waits for requests in flight"`
	StartTimeout   time.Duration `long:"start-timeout" env:"VERBENASTAND_START_TIMEOUT" default:"5s" description:"Maximum time to load the configuration before serving"`

	HedgeLimit *float64 `long:"hedge-limit" env:"VERBENASTAND_HEDGE_LIMIT" description:"Extra server time of hedged requests as a fraction of the server time of first attempts, per service; no hedged requests if 0, limited by the retry budget alone if not set"`

	ZoneRTT time.Duration `long:"zone-rtt" env:"VERBENASTAND_ZONE_RTT" default:"3ms" description:"Round-trip time to servers in other availability zones"`

	MaxBody       int64 `long:"max-body" env:"VERBENASTAND_MAX_BODY" default:"1073741824" description:"Maximum size of a request body in bytes"`
	MaxHeader     int   `long:"max-header" env:"VERBENASTAND_MAX_HEADER" default:"32768" description:"Maximum size of a request header in bytes"`
	MaxConcurrent int64 `long:"max-concurrent" env:"VERBENASTAND_MAX_CONCURRENT" default:"20000" description:"Maximum number of concurrent requests on this host"`
	MaxQueue      int   `long:"max-queue" env:"VERBENASTAND_MAX_QUEUE" default:"8192" description:"Maximum number of requests that wait for a slot of one service"`

	MemoryMB       float64 `long:"memory-mb" env:"VERBENASTAND_MEMORY_MB" default:"0" description:"Memory of this host in MB, 0 if unknown"`
	MaxDescriptors int     `long:"max-descriptors" env:"VERBENASTAND_MAX_DESCRIPTORS" default:"0" description:"Maximum number of file descriptors of the process, 0 if unknown"`

	HeaderTimeout time.Duration `long:"header-timeout" env:"VERBENASTAND_HEADER_TIMEOUT" default:"5s" description:"Maximum time a caller may take to send a request header"`
	IdleTimeout   time.Duration `long:"idle-timeout" env:"VERBENASTAND_IDLE_TIMEOUT" default:"90s" description:"How long an idle connection of a caller is kept open"`
	StallTimeout  time.Duration `long:"stall-timeout" env:"VERBENASTAND_STALL_TIMEOUT" default:"30s" description:"Maximum time without progress while a caller sends or receives a body"`

	ProbeBudget float64       `long:"probe-budget" env:"VERBENASTAND_PROBE_BUDGET" default:"0.01" description:"Fraction of a server's slot time that the probes of all hosts may use"`
	ProbeCost   time.Duration `long:"probe-cost" env:"VERBENASTAND_PROBE_COST" default:"6ms" description:"Slot time that one probe takes"`

	TraceEndpoint string  `long:"trace-endpoint" env:"VERBENASTAND_TRACE_ENDPOINT" description:"URL of an OTLP/HTTP collector; no tracing if empty"`
	TraceShare    float64 `long:"trace-share" env:"VERBENASTAND_TRACE_SHARE" default:"0.01" description:"Fraction of requests that are traced, from 0 to 1"`
	LogFormat     string  `long:"log-format" env:"VERBENASTAND_LOG_FORMAT" default:"text" choice:"text" choice:"json" description:"Log format"`
	Strict        bool    `long:"strict" env:"VERBENASTAND_STRICT" description:"Panic when an invariant is violated, for tests"`
	LogLevel      string  `long:"log-level" env:"VERBENASTAND_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Minimum level of log lines"`
}

// Validate returns the errors of all invalid settings as one error.
func (s Settings) Validate() error {
	var errs validationErrors
	for _, n := range []flagValue{{"host", s.Host}, {"zone", s.Zone}} {
		if !verbenastand.ValidName(n.value) {
			errs.add(n.flag, "%q is not a valid name", n.value)
		}
	}
	errs.checkAddresses([]flagValue{
		{"call-address", s.CallAddress}, {"api-address", s.APIAddress}, {"peer-address", s.PeerAddress},
	}, s.PeerAdvertise, s.Peers)
	errs.checkURL(flagValue{"platform", s.Platform})
	errs.checkURL(flagValue{"trace-endpoint", s.TraceEndpoint})
	checkRanges(&errs, []flagRange[time.Duration]{
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
	checkRanges(&errs, []flagRange[float64]{
		{"fleet", float64(s.Fleet), 1, 10_000},
		{"max-body", float64(s.MaxBody), 1, 1 << 50},
		{"max-header", float64(s.MaxHeader), 1024, 1 << 20},
		{"max-concurrent", float64(s.MaxConcurrent), 1, 1e7},
		{"max-queue", float64(s.MaxQueue), 1, 1e6},
		{"memory-mb", s.MemoryMB, 0, 1e9},
		{"max-descriptors", float64(s.MaxDescriptors), 0, 1e9},
		{"probe-budget", s.ProbeBudget, 1e-6, 0.5},
		{"trace-share", s.TraceShare, 0, 1},
	})
	errs.checkHedgeLimit(s.HedgeLimit)
	return errs.join()
}
