package fpprefix

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestSeedFieldsChangeKey(t *testing.T) {
	base := Seed{Team: "a", Model: "m", Weights: "1", Adapter: "x"}
	tests := map[string]Seed{
		"team":          {Team: "b", Model: "m", Weights: "1", Adapter: "x"},
		"model":         {Team: "a", Model: "n", Weights: "1", Adapter: "x"},
		"weights":       {Team: "a", Model: "m", Weights: "2", Adapter: "x"},
		"adapter":       {Team: "a", Model: "m", Weights: "1", Adapter: "y"},
		"concatenation": {Team: "am", Model: "", Weights: "1", Adapter: "x"},
	}
	text := strings.Repeat("z", BlockBytes)
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(BlockKeys(base, text)[0] != BlockKeys(s, text)[0])
		})
	}
}

func TestNewPrompt(t *testing.T) {
	text := strings.Repeat("a", 3*BlockBytes) + strings.Repeat("b", BlockBytes/2)
	tests := map[string]struct {
		ends   []int
		tokens []int
	}{
		"no ends":                 {nil, []int{1000, 2000, 3000}},
		"two ends":                {[]int{BlockBytes, 3 * BlockBytes}, []int{1000, 3000}},
		"rounded down":            {[]int{2*BlockBytes + 5}, []int{2000}},
		"beyond the text":         {[]int{99 * BlockBytes}, []int{3000}},
		"less than a block apart": {[]int{BlockBytes, BlockBytes + 1}, []int{1000}},
		"shorter than a block":    {[]int{10}, nil},
		"negative":                {[]int{-5}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPrompt(Seed{Team: "t"}, text, tt.ends)
			is.Equal(p.Tokens, 3500)
			var got []int
			for _, l := range p.Levels {
				got = append(got, l.Tokens)
			}
			is.Equal(got, tt.tokens)
		})
	}
}

func FuzzNewPrompt(f *testing.F) {
	f.Add("text", 3, 9)
	f.Fuzz(func(t *testing.T, text string, a, b int) {
		p := NewPrompt(Seed{}, text, []int{a, b})
		for _, l := range p.Levels {
			if l.Tokens <= 0 || l.Tokens > p.Tokens {
				t.Fatalf("level of %d tokens in a prompt of %d", l.Tokens, p.Tokens)
			}
		}
	})
}
