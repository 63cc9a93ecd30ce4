package fpfollower

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

type (
	// patchInput is an operator's patch on a base.
	patchInput struct {
		base uint64
	}

	// patchOutput is what the operator was told.
	patchOutput struct {
		accepted bool
		unknown  bool
	}
)

// patchModel is a version counter: a patch on the current version is accepted
// and moves it by one, one on another is refused, and one whose outcome is
// unknown did either.
func patchModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, input, output any) []any {
			version, in, out := state.(uint64), input.(patchInput), output.(patchOutput)
			switch {
			case out.unknown && version == in.base:
				return []any{version, version + 1}
			case out.unknown:
				return []any{version}
			case out.accepted && version == in.base:
				return []any{version + 1}
			case !out.accepted && version != in.base:
				return []any{version}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// record adds a patch to the history; refusals that wrote nothing because the
// platform did not answer say nothing about the version.
func (f *fleet) record(began time.Time, client int, p fpconfig.Patch, err error) {
	if err != nil && !errors.IsAny(err, ErrUnknown, fpconfig.ErrStale) {
		return
	}
	f.history = append(f.history, porcupine.Operation{
		ClientId: client,
		Input:    patchInput{base: p.Base},
		Call:     began.UnixNano(),
		Output:   patchOutput{accepted: err == nil, unknown: errors.Is(err, ErrUnknown)},
		Return:   time.Now().UnixNano(),
	})
}

// checkLinear holds the history of patches against the version counter.
func (f *fleet) checkLinear(t *testing.T, seed uint64) {
	if !porcupine.CheckOperations(patchModel(), f.history) {
		t.Errorf("seed %d: the history of %d patches is not linearizable", seed, len(f.history))
	}
}

// TestLinearModel shows that the check refuses a history that cannot be.
func TestLinearModel(t *testing.T) {
	twice := []porcupine.Operation{
		{ClientId: 0, Input: patchInput{base: 0}, Call: 0, Output: patchOutput{accepted: true}, Return: 10},
		{ClientId: 1, Input: patchInput{base: 0}, Call: 0, Output: patchOutput{accepted: true}, Return: 10},
	}
	if porcupine.CheckOperations(patchModel(), twice) {
		t.Error("two patches on one base were both accepted, and the check agreed")
	}
}
