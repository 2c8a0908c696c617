package configstore

import (
	"encoding/json"
	"fmt"

	"github.com/baobablanding/baobablanding/fleet"
)

// Bundle is a configuration as one process passes it to another: the head and
// the objects that the receiver lacks.
type Bundle struct {
	// Head names the objects of the configuration.
	Head Head `json:"head"`
	// Objects maps an object's name to its content.
	Objects map[string]json.RawMessage `json:"objects"`
}

// NewBundle returns the state as a bundle for a receiver that holds the objects
// of have.
func NewBundle(head Head, state *fleet.State, have Head) (Bundle, error) {
	b := Bundle{Head: head, Objects: make(map[string]json.RawMessage)}
	if head.Inventory != have.Inventory {
		if err := b.add(inventoryName(head.Inventory), state.Inventory); err != nil {
			return b, err
		}
	}
	for shard, digest := range head.Keys {
		if digest == "" || digestOf(have, shard) == digest {
			continue
		}
		if err := b.add(keysName(digest), shardOf(state.Keys, shard)); err != nil {
			return b, err
		}
	}
	return b, nil
}

func (b *Bundle) add(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	b.Objects[name] = data
	return nil
}

// State returns the state of the bundle, for a receiver that holds prev, made
// of prevHead; prev may be nil.
func (b *Bundle) State(prev *fleet.State, prevHead Head) (fleet.State, error) {
	return assemble(b.Head, prev, prevHead, func(name string, value any) error {
		data, ok := b.Objects[name]
		if !ok {
			return fmt.Errorf("the bundle lacks %s", name)
		}
		if err := json.Unmarshal(data, value); err != nil {
			return fmt.Errorf("decode %s: %w", name, err)
		}
		return nil
	})
}
