package share

import "github.com/cespare/xxhash/v2"

// HomeGateway returns the workspace's home gateway, which collects the idle shares of
// the other gateways: the first of the gateways by rendezvous hash, or "" if there are
// none. Gateways that know the same set choose the same home gateway. Different sets
// cost extra messages but never let the workspace exceed its rate.
func HomeGateway(workspace string, gateways []string) string {
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
