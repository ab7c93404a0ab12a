package generation

import "github.com/skylarkloom/skylarkloom/pkg/api/engine"

// Assembly collects the tokens of a response from several attempts. The zero value
// is an empty response.
type Assembly struct {
	attempt int
	tokens  []string
	dropped int
	done    bool
	finish  engine.Frame
}

// Begin starts the next attempt and returns its number. Later frames of earlier
// attempts are dropped.
func (a *Assembly) Begin() int {
	a.attempt++
	return a.attempt
}

// Add adds a frame and reports whether it extended or ended the response.
func (a *Assembly) Add(f engine.Frame) bool {
	if a.done || f.Attempt != a.attempt || f.Position != len(a.tokens) {
		a.dropped++
		return false
	}
	if f.Done {
		a.done, a.finish = true, f
		return true
	}
	a.tokens = append(a.tokens, f.Text)
	return true
}

// Tokens returns the tokens so far. The slice must not be changed.
func (a *Assembly) Tokens() []string { return a.tokens }

// Finish returns the last frame and whether it has been received.
func (a *Assembly) Finish() (engine.Frame, bool) { return a.finish, a.done }
