package configurer

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Gateway holds the settings of a gateway host. Each can be set by a flag or an
// environment variable.
type Gateway struct {
	Host string `long:"host" env:"VERBENASTAND_HOST" description:"Name of this host: lower-case letters, digits and hyphens"`
	Zone string `long:"zone" env:"VERBENASTAND_ZONE" description:"Availability zone of this host"`

	Regions map[string]string `long:"zone-region" env:"VERBENASTAND_ZONE_REGIONS" env-delim:"," description:"Region of an availability zone, as ZONE:REGION; may be repeated"`
	// MalformedRegions is the number of regions in the settings that were not understood.
	MalformedRegions int `no-flag:"true"`

	CallAddress      string `long:"call-address" env:"VERBENASTAND_CALL_ADDRESS" description:"IP address and TCP port for requests of callers"`
	DirectoryAddress string `long:"directory-address" env:"VERBENASTAND_DIRECTORY_ADDRESS" description:"IP address and TCP port of the directory, which returns the hosts that callers should use"`
	ReadinessAddress string `long:"readiness-address" env:"VERBENASTAND_READINESS_ADDRESS" description:"IP address and TCP port for readiness checks"`
	MetricsAddress   string `long:"metrics-address" env:"VERBENASTAND_METRICS_ADDRESS" description:"IP address and TCP port for metrics"`
	PeerAddress      string `long:"peer-address" env:"VERBENASTAND_PEER_ADDRESS" description:"IP address and UDP port for traffic between hosts"`
	PeerAdvertise    string `long:"peer-advertise" env:"VERBENASTAND_PEER_ADVERTISE" description:"IP address and UDP port under which other hosts reach this one, if different from the peer address"`

	Store        string   `long:"store" env:"VERBENASTAND_STORE" description:"IP address and port of the configuration store"`
	Peers        []string `long:"peer" env:"VERBENASTAND_PEERS" env-delim:"," description:"IP address and UDP port of a host to contact at start; may be repeated"`
	SharedSecret string   `long:"shared-secret" env:"VERBENASTAND_SHARED_SECRET" default:"verbenastand" description:"Shared secret from which the hosts derive the certificates for mutual authentication"`

	RegistrationLifetime time.Duration `long:"registration-lifetime" env:"VERBENASTAND_REGISTRATION_LIFETIME" default:"4500ms" description:"How long the store keeps the registration of a server that does not renew it"`

	GracePeriod    time.Duration `long:"grace-period" env:"VERBENASTAND_GRACE_PERIOD" default:"6s" description:"Maximum time between SIGTERM or SIGINT and the exit of the process"`
	StartTimeout   time.Duration `long:"start-timeout" env:"VERBENASTAND_START_TIMEOUT" default:"3s" description:"Maximum time to load routes and servers before requests are accepted"`
	AnswerValidity time.Duration `long:"answer-validity" env:"VERBENASTAND_ANSWER_VALIDITY" default:"2s" description:"How long a caller may cache the list of hosts to use"`

	RetryRatio     float64       `long:"retry-ratio" env:"VERBENASTAND_RETRY_RATIO" default:"0.2" description:"Retries that all hosts together may send to a service, as a fraction of its requests"`
	RetryAllowance float64       `long:"retry-allowance" env:"VERBENASTAND_RETRY_ALLOWANCE" default:"10" description:"Additional retries that all hosts together may send to a service in a window"`
	RetryWindow    time.Duration `long:"retry-window" env:"VERBENASTAND_RETRY_WINDOW" default:"10s" description:"Window over which retries are counted"`

	HedgeLimit *float64 `long:"hedge-limit" env:"VERBENASTAND_HEDGE_LIMIT" description:"Extra server time of hedged requests as a fraction of the server time of first attempts, per service; no hedged requests if 0, limited by the retry budget alone if not set"`

	LinkMbps float64 `long:"link-mbps" env:"VERBENASTAND_LINK_MBPS" default:"0" description:"Bandwidth of the link of this host in Mbit/s, 0 if unknown; hosts with fast links read the store and forward changes for the others"`

	WarmupOverage float64 `long:"warmup-overage" env:"VERBENASTAND_WARMUP_OVERAGE" default:"1" description:"Multiple of the limit of a server that is not warm which all hosts together may send to it in one second"`
	WarmupSlack   float64 `long:"warmup-slack" env:"VERBENASTAND_WARMUP_SLACK" default:"0" description:"Requests beyond that multiple which a server that is not warm takes in one second"`

	FairQueueing bool `long:"fair-queueing" env:"VERBENASTAND_FAIR_QUEUEING" description:"Order waiting requests of equal urgency by what their callers were assigned recently, so that callers that return often get no larger share"`

	LimitBodies bool `long:"limit-bodies" env:"VERBENASTAND_LIMIT_BODIES" description:"Limit the bytes of large request bodies that all hosts together have in flight to a server, to the largest body for each of its slots"`

	MemoryMB       float64 `long:"memory-mb" env:"VERBENASTAND_MEMORY_MB" default:"0" description:"Memory of this host in MB, 0 if unknown"`
	MaxDescriptors int     `long:"max-descriptors" env:"VERBENASTAND_MAX_DESCRIPTORS" default:"0" description:"Maximum number of file descriptors of the process, 0 if unknown"`

	MaxConcurrent int `long:"max-concurrent" env:"VERBENASTAND_MAX_CONCURRENT" default:"2000" description:"Maximum number of concurrent requests on this host"`

	TraceEndpoint string  `long:"trace-endpoint" env:"VERBENASTAND_TRACE_ENDPOINT" description:"URL of an OTLP/HTTP collector; no tracing if empty"`
	TraceShare    float64 `long:"trace-share" env:"VERBENASTAND_TRACE_SHARE" default:"0.01" description:"Fraction of requests that are traced, from 0 to 1"`
	LogLevel      string  `long:"log-level" env:"VERBENASTAND_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Minimum level of log lines"`
	LogShare      float64 `long:"log-share" env:"VERBENASTAND_LOG_SHARE" default:"0.02" description:"Fraction of the requests answered in time that are logged, from 0 to 1"`
}

// ZoneRegions returns the regions of availability zones.
func (g Gateway) ZoneRegions() verbenastand.ZoneRegions {
	regions := make(verbenastand.ZoneRegions, len(g.Regions))
	for zone, region := range g.Regions {
		regions[verbenastand.Zone(zone)] = verbenastand.Region(region)
	}
	return regions
}

// Validate returns the errors of all invalid settings as one error.
func (g Gateway) Validate() error {
	var errs validationErrors
	for _, n := range []flagValue{{"host", g.Host}, {"zone", g.Zone}} {
		if n.value == "" {
			errs.add(n.flag, "is missing")
		}
	}
	errs.checkAddresses([]flagValue{
		{"call-address", g.CallAddress}, {"directory-address", g.DirectoryAddress}, {"readiness-address", g.ReadinessAddress},
		{"metrics-address", g.MetricsAddress}, {"peer-address", g.PeerAddress}, {"store", g.Store},
	}, g.PeerAdvertise, g.Peers)
	errs.checkURL(flagValue{"trace-endpoint", g.TraceEndpoint})
	checkRanges(&errs, []flagRange[time.Duration]{
		{"grace-period", g.GracePeriod, time.Second, time.Hour},
		{"registration-lifetime", g.RegistrationLifetime, 100 * time.Millisecond, time.Hour},
		{"start-timeout", g.StartTimeout, 0, time.Hour},
		{"answer-validity", g.AnswerValidity, 100 * time.Millisecond, time.Hour},
		{"retry-window", g.RetryWindow, time.Second, time.Hour},
	})
	checkRanges(&errs, []flagRange[float64]{
		{"retry-ratio", g.RetryRatio, 0, 10},
		{"retry-allowance", g.RetryAllowance, 0, 1e6},
		{"max-concurrent", float64(g.MaxConcurrent), 1, 1e6},
		{"link-mbps", g.LinkMbps, 0, 1e6},
		{"warmup-overage", g.WarmupOverage, 0, 1e6},
		{"warmup-slack", g.WarmupSlack, 0, 1e6},
		{"memory-mb", g.MemoryMB, 0, 1e9},
		{"max-descriptors", float64(g.MaxDescriptors), 0, 1e9},
		{"trace-share", g.TraceShare, 0, 1},
		{"log-share", g.LogShare, 0, 1},
	})
	errs.checkHedgeLimit(g.HedgeLimit)
	return errs.join()
}
