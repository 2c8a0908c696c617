package standin

import "sync"

// prefixLength is the number of bytes of a prompt that the cache tells apart.
const prefixLength = 32

// prefixCache holds the prefixes of the last prompts.
type prefixCache struct {
	size int
	mu   sync.Mutex
	list []string
}

// use returns whether the prompt's prefix was cached, and caches it.
func (c *prefixCache) use(prompt string) bool {
	prefix := prompt[:min(len(prompt), prefixLength)]
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := false
	for i, p := range c.list {
		if p == prefix {
			c.list = append(c.list[:i], c.list[i+1:]...)
			hit = true
			break
		}
	}
	c.list = append(c.list, prefix)
	if len(c.list) > c.size {
		c.list = c.list[1:]
	}
	return hit
}
