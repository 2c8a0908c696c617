package standin

import "sync"

// prefixBytes is the number of leading bytes of a prompt that form its cache key.
const prefixBytes = 32

// prefixCache is a cache of the prefixes of recent prompts. It evicts the least recently
// used one.
type prefixCache struct {
	capacity int
	mu       sync.Mutex
	prefixes []string // least recently used first
}

// touch makes the prefix of the prompt the most recently used one and reports whether it
// was cached before.
func (c *prefixCache) touch(prompt string) bool {
	prefix := prompt[:min(len(prompt), prefixBytes)]
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := false
	for i, p := range c.prefixes {
		if p == prefix {
			c.prefixes = append(c.prefixes[:i], c.prefixes[i+1:]...)
			hit = true
			break
		}
	}
	c.prefixes = append(c.prefixes, prefix)
	if len(c.prefixes) > c.capacity {
		c.prefixes = c.prefixes[1:]
	}
	return hit
}
