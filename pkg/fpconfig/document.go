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
	// KindService is an upstream that runs a service other than a model.
	KindService = "Service"
	// KindCacheStore is an upstream that stores KV cache blocks exported by engines.
	KindCacheStore = "CacheStore"
)

type (
	// Document is a complete configuration; its lists are sorted by name.
	Document struct {
		Teams     []Team     `json:",omitempty"`
		Models    []Model    `json:",omitempty"`
		Services  []Service  `json:",omitempty"`
		Upstreams []Upstream `json:",omitempty"`
	}

	// Team is a customer and its limits; KeySHA256 is the lower-case hexadecimal
	// SHA-256 hash of its key.
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

	// Service is a service other than a model, and the calls that it offers.
	Service struct {
		Name  string
		Calls []Call `json:",omitempty"`
	}

	// Call is a path of a service; paths not listed are non-idempotent.
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
func (d Document) Team(name string) (Team, bool) { return findByName(d.Teams, name) }

// Model returns the model of that name, and whether there is one.
func (d Document) Model(name string) (Model, bool) { return findByName(d.Models, name) }

// Service returns the service of that name, and whether there is one.
func (d Document) Service(name string) (Service, bool) { return findByName(d.Services, name) }

// Upstream returns the upstream of that name, and whether there is one.
func (d Document) Upstream(name string) (Upstream, bool) { return findByName(d.Upstreams, name) }

// AdapterVersion returns "name@version" of an adapter, and whether it is
// declared; the empty name stands for the model without an adapter.
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

// Idempotent reports whether a call to path may be retried after it was dispatched.
func (s Service) Idempotent(path string) bool {
	for _, c := range s.Calls {
		if c.Path == path {
			return c.Idempotent
		}
	}
	return false
}

func findByName[T named](items []T, name string) (T, bool) {
	i, ok := slices.BinarySearchFunc(items, name, func(v T, n string) int {
		return cmp.Compare(v.name(), n)
	})
	if !ok {
		var zero T
		return zero, false
	}
	return items[i], true
}

// Validate returns all violations of the document's rules joined in one error, or nil.
func (d Document) Validate() error {
	errs := slices.Concat(
		validateNames("Team", d.Teams),
		validateNames("Model", d.Models),
		validateNames("Service", d.Services),
		validateNames("Upstream", d.Upstreams),
		d.validateTeams(),
		d.validateModels(),
		d.validateUpstreams(),
	)
	return errors.Join(errs...)
}

func validateNames[T named](kind string, items []T) []error {
	var errs []error
	for i, v := range items {
		if v.name() == "" {
			errs = append(errs, errors.Newf("%s %d: Name is empty", kind, i))
		}
		if strings.ContainsAny(v.name(), "/ \t\n\"") {
			errs = append(errs, errors.Newf("%s %q: Name holds a space, quote or slash", kind, v.name()))
		}
		if i > 0 && items[i-1].name() >= v.name() {
			errs = append(errs, errors.Newf("%s %q: stands twice or out of order", kind, v.name()))
		}
	}
	return errs
}

func (d Document) validateTeams() []error {
	var errs []error
	for _, t := range d.Teams {
		if len(t.KeySHA256) != 64 || strings.Trim(t.KeySHA256, "0123456789abcdef") != "" {
			errs = append(errs, errors.Newf("Team %q: KeySHA256 must be 64 lower-case hexadecimal digits", t.Name))
		}
		if t.RequestsPerSecond < 0 || t.TokensPerSecond < 0 || t.Running < 0 {
			errs = append(errs, errors.Newf("Team %q: a limit is negative", t.Name))
		}
	}
	return errs
}

func (d Document) validateModels() []error {
	var errs []error
	for _, m := range d.Models {
		if m.Weights == "" {
			errs = append(errs, errors.Newf("Model %q: Weights is empty", m.Name))
		}
	}
	return errs
}

func (d Document) validateUpstreams() []error {
	var errs []error
	for _, u := range d.Upstreams {
		if _, err := netip.ParseAddrPort(u.Address); err != nil {
			errs = append(errs, errors.Newf("Upstream %q: Address must be an IP number and a port", u.Name))
		}
		if u.AvailabilityZone == "" {
			errs = append(errs, errors.Newf("Upstream %q: AvailabilityZone is empty", u.Name))
		}
		errs = append(errs, d.validateTarget(u)...)
	}
	return errs
}

func (d Document) validateTarget(u Upstream) []error {
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
