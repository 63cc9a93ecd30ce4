package fpsetting

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const validFile = `[Host]
Name = entry-1
AvailabilityZone = z
[Callers]
Address = 127.0.0.1:1
[Peers]
Address = 127.0.0.1:2
SecretFile = s
Contacts = a@z@127.0.0.1:9, b@y@127.0.0.1:8
[Operators]
Address = 127.0.0.1:3
OperatorKeys = k
[Platform]
Address = 127.0.0.1:4
`

// TestParseDefaults checks that a valid file is read and that absent keys take their defaults.
func TestParseDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("x.ini", []byte(validFile))
	is.NoErr(err)
	is.Equal(s.Host.Name, "entry-1")
	is.Equal(len(s.Peers.Contacts), 2)
	is.Equal(s.Claims.Window, 15*time.Minute)
	is.Equal(s.Placement.HomePrior, 0.3)
}

// TestParseErrors checks that each error names its line, its key and a valid value, and that all
// errors of a file are reported at once.
func TestParseErrors(t *testing.T) {
	tests := map[string]struct{ appended, want string }{
		"unknown key":        {"[Stop]\nNotise = 1s\n", "x.ini:16: Stop.Notise: unknown key; the nearest is Notice"},
		"unknown section":    {"[Stopp]\n", "x.ini:15: Stopp: unknown section; the nearest is Stop"},
		"malformed duration": {"[Stop]\nNotice = soon\n", "x.ini:16: Stop.Notice: \"soon\" is not a duration, such as 1.5s or 3ms"},
		"malformed integer":  {"[Claims]\nSlots = many\n", "x.ini:16: Claims.Slots: \"many\" is not a positive integer"},
		"negative factor":    {"[Placement]\nHomePrior = -1\n", "x.ini:16: Placement.HomePrior: \"-1\" is not a non-negative number"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("x.ini", []byte(validFile+tt.appended))
			var list ErrorList
			is.True(errors.As(err, &list))
			is.Equal(list.Error(), tt.want)
		})
	}
	t.Run("all errors at once", func(t *testing.T) {
		is := is.New(t)
		_, err := Parse("x.ini", []byte("[Host]\nName = a\n[Callers]\nAddress = localhost:1\n"))
		is.True(err != nil)
		for _, key := range []string{"Host.AvailabilityZone", "Callers.Address", "Peers.Address", "Peers.SecretFile", "Platform.Address"} {
			is.True(strings.Contains(err.Error(), key))
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse("x.ini", data) })
}
