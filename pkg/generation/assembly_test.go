package generation_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

// answer is what every attempt of the test's generation says.
var answer = []string{"the ", "tooth ", "fairy ", "came ", "by ", "night ", "."}

// frames returns the stream of one attempt from a position on.
func frames(attempt, from int) (list []engine.Frame) {
	for n := from; n < len(answer); n++ {
		list = append(list, engine.Frame{Attempt: attempt, Position: n, Text: answer[n]})
	}
	return append(list, engine.Frame{Attempt: attempt, Position: len(answer), Done: true, Reason: engine.FinishStop})
}

var _ = Describe("The assembly", func() {
	It("has no gap and no repeat, whatever frames come late, doubled or out of order", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := &generation.Assembly{}
			var flying []engine.Frame
			for range rapid.IntRange(1, 4).Draw(t, "attempts") {
				flying = append(flying, frames(a.Begin(), len(a.Tokens()))...)
				for range rapid.IntRange(0, 30).Draw(t, "deliveries") {
					at := rapid.IntRange(0, len(flying)-1).Draw(t, "frame")
					check(t, a, flying[at])
				}
			}
			for _, f := range frames(a.Begin(), len(a.Tokens())) {
				check(t, a, f)
			}
			if _, done := a.Finish(); !done || !slices.Equal(a.Tokens(), answer) {
				t.Fatalf("the answer is %q", a.Tokens())
			}
		})
	})

	It("ignores the end of an attempt that it has not followed to there", func() {
		a := &generation.Assembly{}
		for _, f := range slices.Backward(frames(a.Begin(), 0)) {
			a.Add(f)
		}
		if _, done := a.Finish(); done || len(a.Tokens()) != 1 {
			Fail(fmt.Sprintf("%q", a.Tokens()))
		}
	})
})

// check delivers a frame and fails if the answer is not a start of the answer.
func check(t *rapid.T, a *generation.Assembly, f engine.Frame) {
	before := len(a.Tokens())
	grew := a.Add(f)
	if !slices.Equal(a.Tokens(), answer[:len(a.Tokens())]) {
		t.Fatalf("the answer is %q", a.Tokens())
	}
	if want := before + 1; grew && !f.Done && len(a.Tokens()) != want {
		t.Fatalf("%d tokens, want %d", len(a.Tokens()), want)
	}
}
