package store

import (
	"context"
	"errors"
	"fmt"
	"io"
)

// Errors returned by Table, Objects and VMs.
var (
	// ErrNotFound reports that a record or object does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrUnavailable reports a call that failed or got no response. A write may have
	// taken effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrNotModified reports that a record still has the version known to the caller.
	ErrNotModified = errors.New("store: not modified")
)

// Record is one versioned record of a Table.
type Record struct {
	Key   string
	Value []byte
	// Version grows with each write to the table. It is 0 for a record that does not
	// exist.
	Version uint64
}

// Op is one conditional write of a transaction on a Table.
type Op struct {
	Key string
	// Value is the new content. It is not used by deletions and checks.
	Value []byte
	// Kind is what to do if the condition holds.
	Kind OpKind
	// Version is the version that the record must have. 0 means that it must not
	// exist.
	Version uint64
	// Unconditional removes the condition: Version is ignored.
	Unconditional bool
}

// OpKind is the kind of operation of an Op.
type OpKind string

const (
	// OpPut writes the record.
	OpPut OpKind = "put"
	// OpDelete deletes the record.
	OpDelete OpKind = "delete"
	// OpCheck checks the condition and changes nothing.
	OpCheck OpKind = "check"
)

// Table is one table of records. Unlike the tables of a Store it has no parts. Calls
// that fail return ErrUnavailable unless another error is named.
type Table interface {
	// Get returns a record, or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// GetIfModified returns a record, or ErrNotModified if it still has the known version.
	// A known version of 0 matches no record. It returns ErrNotFound if there is none.
	GetIfModified(ctx context.Context, key string, known uint64) (Record, error)
	// Scan returns at most limit records, sorted by key, whose keys have the prefix
	// and are greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Record, error)
	// Commit applies all operations or none. It returns ErrConflict if a condition
	// does not hold.
	Commit(ctx context.Context, ops ...Op) error
}

// Objects is an object store.
type Objects interface {
	// Put stores an object, replacing any object of the same name.
	Put(ctx context.Context, name string, body io.Reader) error
	// Get returns the object's content, or ErrNotFound. The caller must close it.
	Get(ctx context.Context, name string) (io.ReadCloser, error)
	// Delete deletes the object. Deleting a missing object is not an error.
	Delete(ctx context.Context, name string) error
}

// ReadObject returns the whole content of an object. It returns ErrNotFound if the
// object does not exist and ErrUnavailable if its content cannot be read to the end.
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
	// VMLive means that the VM is running.
	VMLive VMState = "live"
	// VMLeaving means that the VM will stop soon.
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
}

// VMs is the platform's list of VMs. The list lags behind the VMs themselves.
type VMs interface {
	// List returns all VMs in the list.
	List(ctx context.Context) ([]VM, error)
}
