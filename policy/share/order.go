package share

import "github.com/cespare/xxhash/v2"

// Home returns the gateway that gathers the workspace's idle shares: the first
// of the gateways by rendezvous hash. Gateways that see the same set choose the
// same one; a difference costs messages and never exceeds a rate.
func Home(workspace string, gateways []string) string {
	var best string
	var bestScore uint64
	for _, g := range gateways {
		score := xxhash.Sum64String(g + "\x00" + workspace)
		if best == "" || score > bestScore || (score == bestScore && g < best) {
			best, bestScore = g, score
		}
	}
	return best
}
