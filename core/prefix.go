package core

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the size of the prompt blocks that are hashed.
const PrefixBlockBytes = 256

// PrefixDigests returns the digests of a prompt's prefixes, shortest first:
// digest i covers blocks 0 to i. An incomplete last block has no digest. Entry
// hosts and engines must compute the same digests.
func PrefixDigests(prompt string) []uint64 {
	blocks := len(prompt) / PrefixBlockBytes
	digests := make([]uint64, 0, blocks)
	hash := xxhash.New()
	for i := range blocks {
		// Digest.WriteString never fails.
		_, _ = hash.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		digests = append(digests, hash.Sum64())
	}
	return digests
}

// PromptTokens estimates the engine memory that a prompt takes, in tokens of four
// bytes.
func PromptTokens(prompt string) int {
	const bytesPerToken = 4
	return len(prompt)/bytesPerToken + 1
}
