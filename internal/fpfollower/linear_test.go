package fpfollower

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

type (
	// patchInput is the base version of an operator's patch.
	patchInput struct {
		base uint64
	}

	// patchOutput is the outcome that the operator received.
	patchOutput struct {
		accepted bool
		unknown  bool
	}
)

// patchModel models the configuration as a version counter: a patch based on the current version
// is accepted and increments it, one on another base is refused, and one with an unknown outcome
// may have done either.
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

// recordOperation adds a patch to the history. Patches refused because the platform did not
// answer are left out: they carry no information about the version.
func (f *testFleet) recordOperation(startedAt time.Time, client int, p fpconfig.Patch, err error) {
	if err != nil && !errors.IsAny(err, ErrOutcomeUnknown, fpconfig.ErrStale) {
		return
	}
	f.patchHistory = append(f.patchHistory, porcupine.Operation{
		ClientId: client,
		Input:    patchInput{base: p.Base},
		Call:     startedAt.UnixNano(),
		Output:   patchOutput{accepted: err == nil, unknown: errors.Is(err, ErrOutcomeUnknown)},
		Return:   time.Now().UnixNano(),
	})
}

// checkLinearizable checks the history of patches against patchModel.
func (f *testFleet) checkLinearizable(t *testing.T, seed uint64) {
	if !porcupine.CheckOperations(patchModel(), f.patchHistory) {
		t.Errorf("seed %d: the history of %d patches is not linearizable", seed, len(f.patchHistory))
	}
}

// TestPatchModelRejectsDoubleAccept checks that the model rejects a history in which two
// patches on the same base were both accepted.
func TestPatchModelRejectsDoubleAccept(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: patchInput{base: 0}, Call: 0, Output: patchOutput{accepted: true}, Return: 10},
		{ClientId: 1, Input: patchInput{base: 0}, Call: 0, Output: patchOutput{accepted: true}, Return: 10},
	}
	if porcupine.CheckOperations(patchModel(), history) {
		t.Error("the model accepts a history in which two patches on one base were both accepted")
	}
}
