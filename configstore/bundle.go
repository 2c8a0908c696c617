package configstore

import (
	"encoding/json"
	"fmt"

	"github.com/baobablanding/baobablanding/fleet"
)

// Bundle is a configuration as one process sends it to another: the head and the objects
// that the receiver does not have yet.
type Bundle struct {
	// Head names all objects of the configuration.
	Head Head `json:"head"`
	// Objects maps object names to their content in JSON.
	Objects map[string]json.RawMessage `json:"objects"`
}

// NewBundle returns the state, whose head is given, as a bundle for a receiver that has
// the objects of the head have. It fails only if an object cannot be encoded.
func NewBundle(head Head, state *fleet.State, have Head) (Bundle, error) {
	b := Bundle{Head: head, Objects: make(map[string]json.RawMessage)}
	if head.Inventory != have.Inventory {
		if err := b.add(inventoryObjectName(head.Inventory), state.Inventory); err != nil {
			return b, err
		}
	}
	for shard, digest := range head.Keys {
		if digest == "" || shardDigest(have, shard) == digest {
			continue
		}
		if err := b.add(keysObjectName(digest), keysInShard(state.Keys, shard)); err != nil {
			return b, err
		}
	}
	return b, nil
}

// add adds the value as the named object.
func (b *Bundle) add(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	b.Objects[name] = data
	return nil
}

// State returns the state that the bundle describes. Objects that the bundle leaves out
// are taken from prev, the receiver's state of the head prevHead; prev may be nil. It
// returns an error if an object is missing or cannot be decoded.
func (b *Bundle) State(prev *fleet.State, prevHead Head) (fleet.State, error) {
	return assemble(b.Head, prev, prevHead, func(name string, value any) error {
		data, ok := b.Objects[name]
		if !ok {
			return fmt.Errorf("bundle has no object %s", name)
		}
		if err := json.Unmarshal(data, value); err != nil {
			return fmt.Errorf("decode %s: %w", name, err)
		}
		return nil
	})
}
