package fpconfig

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// KindEngine is an upstream that runs a model.
	KindEngine = "Engine"
	// KindService is an upstream that runs a plain service.
	KindService = "Service"
	// KindCacheStore is an upstream that keeps exported cache blocks.
	KindCacheStore = "CacheStore"
)

type (
	// Document is one whole configuration; lists are sorted by name.
	Document struct {
		Teams     []Team     `json:",omitempty"`
		Models    []Model    `json:",omitempty"`
		Services  []Service  `json:",omitempty"`
		Upstreams []Upstream `json:",omitempty"`
	}

	// Team is a customer; KeySHA256 is the lower-case hexadecimal hash of its key.
	Team struct {
		Name              string
		KeySHA256         string
		RequestsPerSecond float64 `json:",omitempty"`
		TokensPerSecond   float64 `json:",omitempty"`
		Running           int     `json:",omitempty"`
	}

	// Model is a model with the weights version that engines should serve.
	Model struct {
		Name     string
		Weights  string
		Adapters []Adapter `json:",omitempty"`
	}

	// Adapter is a named adapter of a model and its version.
	Adapter struct {
		Name    string
		Version string
	}

	// Service is a plain service and the calls that it offers.
	Service struct {
		Name  string
		Calls []Call `json:",omitempty"`
	}

	// Call is a path of a service; calls not listed are non-idempotent.
	Call struct {
		Path       string
		Idempotent bool `json:",omitempty"`
	}

	// Upstream is one replica of a model, service or cache store.
	Upstream struct {
		Name              string
		Kind              string
		Address           string
		AvailabilityZone  string
		Model             string `json:",omitempty"`
		Service           string `json:",omitempty"`
		ChecksFencing     bool   `json:",omitempty"`
		RecognisesRepeats bool   `json:",omitempty"`
		Leaving           bool   `json:",omitempty"`
	}

	named interface {
		Team | Model | Service | Upstream
		name() string
	}
)

func (t Team) name() string     { return t.Name }
func (m Model) name() string    { return m.Name }
func (s Service) name() string  { return s.Name }
func (u Upstream) name() string { return u.Name }

// Team returns the team of that name, and whether there is one.
func (d Document) Team(name string) (Team, bool) { return find(d.Teams, name) }

// Model returns the model of that name, and whether there is one.
func (d Document) Model(name string) (Model, bool) { return find(d.Models, name) }

// Service returns the service of that name, and whether there is one.
func (d Document) Service(name string) (Service, bool) { return find(d.Services, name) }

// Upstream returns the upstream of that name, and whether there is one.
func (d Document) Upstream(name string) (Upstream, bool) { return find(d.Upstreams, name) }

// AdapterVersion returns the version of an adapter; the empty name is the model itself.
func (m Model) AdapterVersion(name string) (string, bool) {
	if name == "" {
		return "", true
	}
	for _, a := range m.Adapters {
		if a.Name == name {
			return a.Name + "@" + a.Version, true
		}
	}
	return "", false
}

// Idempotent reports whether a call to path may be repeated.
func (s Service) Idempotent(path string) bool {
	for _, c := range s.Calls {
		if c.Path == path {
			return c.Idempotent
		}
	}
	return false
}

func find[T named](items []T, name string) (T, bool) {
	i, ok := slices.BinarySearchFunc(items, name, func(v T, n string) int {
		return cmp.Compare(v.name(), n)
	})
	if !ok {
		var zero T
		return zero, false
	}
	return items[i], true
}

// Check returns every fault of the document joined in one error, or nil.
func (d Document) Check() error {
	faults := slices.Concat(
		checkNames("Team", d.Teams),
		checkNames("Model", d.Models),
		checkNames("Service", d.Services),
		checkNames("Upstream", d.Upstreams),
		d.checkTeams(),
		d.checkModels(),
		d.checkUpstreams(),
	)
	return errors.Join(faults...)
}

func checkNames[T named](kind string, items []T) []error {
	var faults []error
	for i, v := range items {
		if v.name() == "" {
			faults = append(faults, errors.Newf("%s %d: Name is empty", kind, i))
		}
		if strings.ContainsAny(v.name(), "/ \t\n\"") {
			faults = append(faults, errors.Newf("%s %q: Name holds a space, quote or slash", kind, v.name()))
		}
		if i > 0 && items[i-1].name() >= v.name() {
			faults = append(faults, errors.Newf("%s %q: stands twice or out of order", kind, v.name()))
		}
	}
	return faults
}

func (d Document) checkTeams() []error {
	var faults []error
	for _, t := range d.Teams {
		if len(t.KeySHA256) != 64 || strings.Trim(t.KeySHA256, "0123456789abcdef") != "" {
			faults = append(faults, errors.Newf("Team %q: KeySHA256 must be 64 lower-case hexadecimal digits", t.Name))
		}
		if t.RequestsPerSecond < 0 || t.TokensPerSecond < 0 || t.Running < 0 {
			faults = append(faults, errors.Newf("Team %q: a limit is negative", t.Name))
		}
	}
	return faults
}

func (d Document) checkModels() []error {
	var faults []error
	for _, m := range d.Models {
		if m.Weights == "" {
			faults = append(faults, errors.Newf("Model %q: Weights is empty", m.Name))
		}
	}
	return faults
}

func (d Document) checkUpstreams() []error {
	var faults []error
	for _, u := range d.Upstreams {
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			faults = append(faults, errors.Newf("Upstream %q: Address must be an IP number and a port", u.Name))
		}
		if u.AvailabilityZone == "" {
			faults = append(faults, errors.Newf("Upstream %q: AvailabilityZone is empty", u.Name))
		}
		faults = append(faults, d.checkTarget(u)...)
	}
	return faults
}

func (d Document) checkTarget(u Upstream) []error {
	var ok bool
	switch u.Kind {
	case KindEngine:
		_, ok = d.Model(u.Model)
	case KindService:
		_, ok = d.Service(u.Service)
	case KindCacheStore:
		ok = true
	default:
		return []error{errors.Newf("Upstream %q: Kind must be %s, %s or %s", u.Name, KindEngine, KindService, KindCacheStore)}
	}
	if !ok {
		return []error{errors.Newf("Upstream %q: names a model or service that is not declared", u.Name)}
	}
	return nil
}
