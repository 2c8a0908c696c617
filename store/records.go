package store

import (
	"context"
	"errors"
	"fmt"
	"io"
)

// Errors of a Table, of Objects and of VMs.
var (
	// ErrNotFound reports a record or object that does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrUnavailable reports a call without an answer. A write may have taken
	// effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrNotModified reports that a record still has the known version.
	ErrNotModified = errors.New("store: not modified")
)

// Record is one versioned record of a Table.
type Record struct {
	// Key is the record's key.
	Key string
	// Value is the record's content.
	Value []byte
	// Version is a number that grows with each write to the table. It is 0 for
	// a record that does not exist.
	Version uint64
}

// Op is one conditional write of a transaction on a Table.
type Op struct {
	// Key is the key to write.
	Key string
	// Value is the new content. It is unused for a delete or a check.
	Value []byte
	// Kind is what to do when the condition holds.
	Kind OpKind
	// Version is the version that the record must have; 0 means that it must
	// not exist.
	Version uint64
	// Any drops the condition.
	Any bool
}

// OpKind is the kind of an Op.
type OpKind string

const (
	// Put writes the record.
	Put OpKind = "put"
	// Delete removes the record.
	Delete OpKind = "delete"
	// Check only checks the condition.
	Check OpKind = "check"
)

// Table is one table of records, seen without parts.
type Table interface {
	// Get returns a record, or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// GetNewer returns a record, or ErrNotModified while its version is known.
	GetNewer(ctx context.Context, key string, known uint64) (Record, error)
	// Scan returns at most limit records whose keys have the prefix and are
	// greater than after, in order of their keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Record, error)
	// Commit applies all operations or none. It returns ErrConflict if a
	// condition does not hold.
	Commit(ctx context.Context, ops ...Op) error
}

// Objects is an object store.
type Objects interface {
	// Put stores an object, replacing an earlier one of the same name.
	Put(ctx context.Context, name string, body io.Reader) error
	// Get returns the object's content, or ErrNotFound. The caller closes it.
	Get(ctx context.Context, name string) (io.ReadCloser, error)
	// Delete removes the object. Deleting a missing object is no error.
	Delete(ctx context.Context, name string) error
}

// ReadObject returns the whole content of an object, or ErrNotFound.
func ReadObject(ctx context.Context, o Objects, name string) ([]byte, error) {
	body, err := o.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return data, nil
}

// VMState is the state of a VM in the platform's list.
type VMState string

const (
	// Live is a running VM.
	Live VMState = "live"
	// Leaving is a VM that will stop soon.
	Leaving VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	// Name identifies the VM.
	Name string `json:"name"`
	// State is live or leaving.
	State VMState `json:"state"`
}

// VMs is a list of VMs. It lags behind the VMs themselves.
type VMs interface {
	// List returns the VMs that the platform knows.
	List(ctx context.Context) ([]VM, error)
}
