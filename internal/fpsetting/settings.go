package fpsetting

import (
	"time"
)

type (
	// Settings holds a daemon's start-up settings; each field is a section of the INI file. The
	// tags give each key's default and its text in docs/SETTINGS.md.
	Settings struct {
		Host      Host
		Callers   Listener
		Peers     Peers
		Operators Operators
		Platform  Platform
		Zones     Zones
		Placement Placement
		Claims    Claims
		Stop      Stop
		Limits    Limits
	}

	// Host identifies this host and its availability zone.
	Host struct {
		Name             string `doc:"name of this host, unique in the fleet" required:"true"`
		AvailabilityZone string `doc:"availability zone that this host stands in" required:"true"`
	}

	// Listener holds a listen address and optional TLS files.
	Listener struct {
		Address         string `doc:"IP number and port to listen on" kind:"address" required:"true"`
		CertificateFile string `doc:"PEM file of the TLS certificate; empty serves without TLS"`
		KeyFile         string `doc:"PEM file of the TLS key"`
	}

	// Peers configures the listener for other hosts and how to reach them.
	Peers struct {
		Address         string   `doc:"IP number and port for other hosts, TCP and UDP" kind:"address" required:"true"`
		CertificateFile string   `doc:"PEM file of the TLS certificate; empty serves without TLS"`
		KeyFile         string   `doc:"PEM file of the TLS key"`
		AuthorityFile   string   `doc:"PEM file of the authority that signs other hosts' certificates"`
		SecretFile      string   `doc:"file whose content is the secret that all hosts share" required:"true"`
		Contacts        []string `doc:"other hosts as name@zone@address, separated by commas; more are learnt from the host list"`
	}

	// Operators configures the listener for operators.
	Operators struct {
		Address         string `doc:"IP number and port for operators" kind:"address" required:"true"`
		CertificateFile string `doc:"PEM file of the TLS certificate; empty serves without TLS"`
		KeyFile         string `doc:"PEM file of the TLS key"`
		OperatorKeys    string `doc:"file with one operator a line: name and SHA-256 of the key in hexadecimal" required:"true"`
	}

	// Platform holds the addresses of the platform's services.
	Platform struct {
		Address  string `doc:"IP number and port of the key-value service" kind:"address" required:"true"`
		HostList string `doc:"IP number and port of the list of hosts; empty uses Peers.Contacts alone" kind:"address"`
	}

	// Zones holds the round-trip times to other availability zones.
	Zones struct {
		RoundTrips []string `doc:"round trip to upstreams of each zone as zone@duration, separated by commas; others count as 60ms"`
	}

	// Placement tunes the choice of an upstream for each request.
	Placement struct {
		RecomputeInteractive float64       `doc:"cost to others of a second that interactive work recomputes" default:"1"`
		RecomputeStandard    float64       `doc:"cost to others of a second that standard work recomputes" default:"2"`
		RecomputeBulk        float64       `doc:"cost to others of a second that bulk work recomputes" default:"2"`
		HomePrior            float64       `doc:"share of a prefix believed cached at its home without evidence" default:"0.3"`
		TargetUtilization    float64       `doc:"prefill seconds a second at which a prefix gets another replica" default:"1"`
		Spill                time.Duration `doc:"gain that pays for leaving the availability zone" default:"1.5s"`
		WaitInteractive      time.Duration `doc:"predicted wait beyond which interactive work is refused" default:"20s"`
		WaitStandard         time.Duration `doc:"predicted wait beyond which standard work is refused" default:"15s"`
		WaitBulk             time.Duration `doc:"predicted wait beyond which bulk work is refused" default:"10s"`
		KnownPrefixes        int           `doc:"prefixes remembered, in each of two generations" default:"200000"`
		ShareBytes           int           `doc:"bytes a second for telling the zone's other hosts what was placed" default:"900"`
		Silence              time.Duration `doc:"time without a byte after which a connection counts as silent" default:"1.5s"`
		Poll                 time.Duration `doc:"time between load reports read from an upstream" default:"500ms"`
	}

	// Claims tunes the claim log of at-most-once dispatch.
	Claims struct {
		Shards   int           `doc:"shards of the claim log; all hosts must agree" default:"32"`
		Slots    int           `doc:"slots of each shard; all hosts must agree" default:"16"`
		Window   time.Duration `doc:"time in which a repeat is recognised; all hosts must agree" default:"15m"`
		Linger   time.Duration `doc:"time that claims wait for others to be written together" default:"3ms"`
		Dispatch time.Duration `doc:"time from asking for a claim to the latest first byte" default:"5s"`
	}

	// Stop tunes graceful shutdown.
	Stop struct {
		Notice time.Duration `doc:"time that new connections are still served after /readyz turned off" default:"5s"`
	}

	// Limits bounds requests, slow callers and memory.
	Limits struct {
		MaxBodyBytes   int           `doc:"largest request body" default:"16777216"`
		MaxHeaderBytes int           `doc:"largest request header" default:"65536"`
		MemoryBytes    int           `doc:"memory of the process; connections, requests and answers hold at most 0.45 of it" default:"268435456"`
		MaxConnections int           `doc:"open connections of all listeners, at most three quarters of the descriptors that the system allows" default:"2925"`
		StallTimeout   time.Duration `doc:"time that a client may stall in sending a request or reading an answer" default:"30s"`
		WriteTimeout   time.Duration `doc:"time that a caller may take to read a piece" default:"30s"`
		KeptAnswers    int           `doc:"answers to non-idempotent requests kept for repeats" default:"10000"`
		Records        int           `doc:"decision records kept for explain" default:"50000"`
	}
)

// Listener returns the listener for other hosts.
func (p Peers) Listener() Listener {
	return Listener{Address: p.Address, CertificateFile: p.CertificateFile, KeyFile: p.KeyFile}
}

// Listener returns the listener for operators.
func (o Operators) Listener() Listener {
	return Listener{Address: o.Address, CertificateFile: o.CertificateFile, KeyFile: o.KeyFile}
}
