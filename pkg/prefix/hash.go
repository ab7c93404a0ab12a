// Package prefix indexes which endpoints have which prompt prefixes cached. It is
// updated by cache events, which arrive late and with gaps, and by the cached token
// counts that endpoints report for the requests they served.
package prefix

import "github.com/skylarkloom/skylarkloom/pkg/fleet"

// BlockTokens is the number of prompt tokens in a block, the unit of caching.
const BlockTokens fleet.Tokens = 16

// blockBytes is the length of a block's text: 16 tokens of about 4 bytes each.
const blockBytes = 64

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// BlockHashes returns the hashes of a prompt's full blocks. Each hash covers the
// prompt from its start to the end of the block, so two prompts share a hash
// only if they share the whole prefix.
func BlockHashes(prompt string) []uint64 {
	if len(prompt) < blockBytes {
		return nil
	}
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	hash := fnvOffset
	for i := range len(prompt) / blockBytes * blockBytes {
		hash ^= uint64(prompt[i])
		hash *= fnvPrime
		if (i+1)%blockBytes == 0 {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}
