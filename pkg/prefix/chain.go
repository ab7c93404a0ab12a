// Package prefix tells which endpoints hold which cached prompt prefixes. It
// learns from cache events, which come late and with gaps, and from what the
// endpoints report of the requests they served.
package prefix

import "github.com/skylarkloom/skylarkloom/pkg/fleet"

// BlockTokens is how many tokens of a prompt share one cache entry.
const BlockTokens fleet.Tokens = 16

// blockBytes is the length of a block's text: 16 tokens of about 4 bytes each.
const blockBytes = 64

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// Chain returns the hashes of a prompt's full blocks. Each hash covers the
// prompt from its start to the end of the block, so two prompts share a hash
// only if they share the whole prefix.
func BlockHashes(prompt string) []uint64 {
	if len(prompt) < blockBytes {
		return nil
	}
	chain := make([]uint64, 0, len(prompt)/blockBytes)
	hash := fnvOffset
	for at := range len(prompt) / blockBytes * blockBytes {
		hash ^= uint64(prompt[at])
		hash *= fnvPrime
		if (at+1)%blockBytes == 0 {
			chain = append(chain, hash)
		}
	}
	return chain
}
