package generation_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/generation"
)

// fullResponse holds the tokens of the complete response, the same in every attempt.
var fullResponse = []string{"the ", "tooth ", "fairy ", "came ", "by ", "night ", "."}

// attemptFrames returns the frames of one attempt from a position to the end.
func attemptFrames(attempt, from int) (list []engine.Frame) {
	for position := from; position < len(fullResponse); position++ {
		list = append(list, engine.Frame{Attempt: attempt, Position: position, Text: fullResponse[position]})
	}
	return append(list, engine.Frame{Attempt: attempt, Position: len(fullResponse), Done: true, Reason: engine.FinishStop})
}

var _ = Describe("The assembly", func() {
	It("has no gap and no repetition with late, duplicate or reordered frames", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := &generation.Assembly{}
			var inFlight []engine.Frame
			for range rapid.IntRange(1, 4).Draw(t, "attempts") {
				inFlight = append(inFlight, attemptFrames(a.Begin(), len(a.Tokens()))...)
				for range rapid.IntRange(0, 30).Draw(t, "deliveries") {
					index := rapid.IntRange(0, len(inFlight)-1).Draw(t, "frame")
					checkAdd(t, a, inFlight[index])
				}
			}
			for _, f := range attemptFrames(a.Begin(), len(a.Tokens())) {
				checkAdd(t, a, f)
			}
			if _, done := a.Finish(); !done || !slices.Equal(a.Tokens(), fullResponse) {
				t.Fatalf("the response is %q", a.Tokens())
			}
		})
	})

	It("ignores the last frame of an attempt when earlier ones are missing", func() {
		a := &generation.Assembly{}
		for _, f := range slices.Backward(attemptFrames(a.Begin(), 0)) {
			a.Add(f)
		}
		if _, done := a.Finish(); done || len(a.Tokens()) != 1 {
			Fail(fmt.Sprintf("%q", a.Tokens()))
		}
	})
})

// checkAdd adds a frame and fails unless the tokens are a prefix of fullResponse.
func checkAdd(t *rapid.T, a *generation.Assembly, f engine.Frame) {
	before := len(a.Tokens())
	added := a.Add(f)
	if !slices.Equal(a.Tokens(), fullResponse[:len(a.Tokens())]) {
		t.Fatalf("the response is %q", a.Tokens())
	}
	if want := before + 1; added && !f.Done && len(a.Tokens()) != want {
		t.Fatalf("got %d tokens, want %d", len(a.Tokens()), want)
	}
}
