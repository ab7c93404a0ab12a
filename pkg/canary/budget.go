package canary

// Budget bounds what one node exposes to a new version, by its own requests only: whatever becomes of the
// other nodes and of messages, the sum over all nodes stays within the bound. The zero value allows nothing.
type Budget struct {
	// Share is the part of the passed requests that may be exposed, Slack the number beyond that.
	Share, Slack   float64
	passed, expose int
}

const (
	// shareMargin and slackMargin are the parts of the bounds that are used. Requests that nodes count
	// and endpoints do not see, and nodes that differ about their number, take the rest.
	shareMargin = 0.8
	slackMargin = 0.6
)

// NewBudget returns the budget of one of several nodes. A node that started after the order gets no slack, as
// its earlier incarnation had it. luck is a number in [0, 1) that differs between nodes and rounds the slack,
// so that some nodes can expose a request if there are more nodes than slack.
func NewBudget(b Bounds, nodes int, startedBefore bool, luck float64) Budget {
	budget := Budget{Share: shareMargin * b.ExposeShare}
	if startedBefore {
		part := slackMargin * b.ExposeSlack / float64(max(1, nodes))
		whole := float64(int(part))
		if luck < part-whole {
			whole++
		}
		budget.Slack = whole
	}
	return budget
}

// Allows reports whether one more request may be exposed when the given part of the slack is available.
func (b *Budget) Allows(slackPart float64) bool {
	slack := b.Slack * slackPart
	if b.Slack >= 1 {
		slack = max(1, slack)
	}
	return float64(b.expose+1) <= b.Share*float64(b.passed)+slack
}
