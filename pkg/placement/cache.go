package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// maxCachedBlocks bounds the prefix blocks that are recorded for an endpoint.
	maxCachedBlocks = 2048
	// cachedBlockLifetime is how long a prefix block is assumed to stay in an
	// engine's cache after its last use.
	cachedBlockLifetime = 60 * time.Second
)

// cachedTokens returns the number of leading tokens of a prompt that are recorded
// as cached.
func (s *endpointState) cachedTokens(blocks []serving.PrefixBlock, now clock.Instant) (tokens fleet.Tokens) {
	for _, b := range blocks {
		usedAt, ok := s.cachedBlocks.Peek(b.ID)
		if !ok || now.Sub(usedAt) > cachedBlockLifetime {
			break
		}
		tokens += b.Tokens
	}
	return tokens
}

// maxPreferred is the number of endpoints that are ranked as preferred for a prompt.
const maxPreferred = 3

// preferredEndpoints returns the preferred endpoints for the last prefix block that
// a prompt shares with others, best first. Rendezvous hashing lets all nodes arrive
// at the same ranking without exchanging messages. Where speeds differ clearly, an
// endpoint is preferred in proportion to its speed.
func preferredEndpoints(endpoints []serving.Endpoint, blocks []serving.PrefixBlock, speedOf func(fleet.PoolName) func(serving.Endpoint) float64) (ranked []fleet.InstanceID) {
	if len(blocks) == 0 || len(endpoints) == 0 {
		return nil
	}
	speed := speedOf(endpoints[0].Pool)
	key := blocks[max(0, len(blocks)-2)].ID
	var topScores [maxPreferred + 1]float64
	var topHashes [maxPreferred + 1]uint64
	ranked = make([]fleet.InstanceID, 0, maxPreferred+1)
	for _, e := range endpoints {
		var h xxhash.Digest
		h.Reset()
		// Writes to an xxhash digest never fail.
		_, _ = h.WriteString(string(key))
		_, _ = h.WriteString(string(e.ID))
		sum, score := h.Sum64(), 0.0
		if speed != nil {
			score = weightedScore(sum, speed(e))
		}
		position := len(ranked)
		for position > 0 && (score > topScores[position-1] || score == topScores[position-1] && sum > topHashes[position-1]) {
			position--
		}
		if position == maxPreferred {
			continue
		}
		copy(topScores[position+1:], topScores[position:])
		copy(topHashes[position+1:], topHashes[position:])
		topScores[position], topHashes[position] = score, sum
		ranked = slices.Insert(ranked, position, e.ID)
		ranked = ranked[:min(len(ranked), maxPreferred)]
	}
	return ranked
}

// weightedScore returns the score of weighted rendezvous hashing, which is the highest
// of several with a probability in proportion to the weight.
func weightedScore(hash uint64, weight float64) float64 {
	return weight / -math.Log((float64(hash)+0.5)/(1<<64+1))
}

// SharedTokens returns the number of leading tokens of a prompt that other requests
// share: those of all prefix blocks but the last.
func SharedTokens(blocks []serving.PrefixBlock) (tokens fleet.Tokens) {
	for i, b := range blocks {
		if i < len(blocks)-1 {
			tokens += b.Tokens
		}
	}
	return tokens
}
