package gateway

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

// KeyRequest asks to issue or to withdraw a key.
type KeyRequest struct {
	ChangeMetadata
	// Workspace is the name of the workspace that a new key belongs to.
	Workspace string `json:"workspace,omitempty"`
	// ID is the ID of the key to withdraw.
	ID string `json:"id,omitempty"`
}

// KeyResponse holds a new key. This is the only response that contains the key: the
// system stores its digest only.
type KeyResponse struct {
	// ID identifies the key in later requests. It is not secret.
	ID string `json:"id"`
	// Key is the secret that callers send.
	Key string `json:"key"`
	// Version is the version of the configuration that holds the key.
	Version uint64 `json:"version"`
}

// KeyInfo describes an issued key. WithdrawnAt is zero while the key is valid.
type KeyInfo struct {
	ID          string    `json:"id"`
	Workspace   string    `json:"workspace"`
	IssuedAt    time.Time `json:"issued"`
	WithdrawnAt time.Time `json:"withdrawn,omitzero"`
}

// listKeys lists all issued keys, also withdrawn ones, the oldest first.
func (g *Gateway) listKeys(w http.ResponseWriter, _ *http.Request, _ string) error {
	view := g.view()
	if view == nil {
		return result.New(result.ConfigMissing, result.NotRun)
	}
	list := make([]KeyInfo, 0, len(view.Keys))
	for _, k := range view.Keys {
		list = append(list, KeyInfo{ID: k.ID, Workspace: k.Workspace, IssuedAt: k.IssuedAt, WithdrawnAt: k.WithdrawnAt})
	}
	slices.SortFunc(list, func(a, b KeyInfo) int { return a.IssuedAt.Compare(b.IssuedAt) })
	writeJSON(w, http.StatusOK, list)
	return nil
}

const (
	keyRandomBytes   = 32
	keyPrefix        = "bl-"
	keyIDDigestChars = 8
)

// newKey returns a random key and the entry of the configuration that assigns its digest
// to the workspace.
func newKey(workspace string) (string, fleet.Key, error) {
	random := make([]byte, keyRandomBytes)
	if _, err := rand.Read(random); err != nil {
		return "", fleet.Key{}, err
	}
	text := keyPrefix + base64.RawURLEncoding.EncodeToString(random)
	digest := sha256.Sum256([]byte(text))
	id := base64.RawURLEncoding.EncodeToString(digest[:])[:keyIDDigestChars]
	return text, fleet.Key{ID: "key-" + id, Digest: digest, Workspace: workspace, IssuedAt: time.Now().UTC()}, nil
}

func (g *Gateway) issueKey(w http.ResponseWriter, r *http.Request, _ string) error {
	req, err := decodeAdminRequest[KeyRequest](g, w, r)
	if err != nil {
		return err
	}
	text, key, err := newKey(req.Workspace)
	if err != nil {
		return err
	}
	head, err := g.applyChange(r.Context(), configstore.Change{
		Operation: req.Operation,
		Author:    req.Author,
		Summary:   "issue " + key.ID,
		Edit:      func(s fleet.State) (fleet.State, error) { return addKey(s, key) },
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, KeyResponse{ID: key.ID, Key: text, Version: head.Version})
	return nil
}

// addKey returns s with the key added. It fails with result.UnknownName if the inventory
// lacks the key's workspace.
func addKey(s fleet.State, key fleet.Key) (fleet.State, error) {
	hasName := func(w fleet.Workspace) bool { return w.Name == key.Workspace }
	if !slices.ContainsFunc(s.Inventory.Workspaces, hasName) {
		return s, result.Errorf(result.UnknownName, "workspace %q is not in the inventory", key.Workspace)
	}
	s.Keys = append(slices.Clip(s.Keys), key)
	return s, nil
}

func (g *Gateway) withdrawKey(w http.ResponseWriter, r *http.Request, _ string) error {
	req, err := decodeAdminRequest[KeyRequest](g, w, r)
	if err != nil {
		return err
	}
	return g.applyAndRespond(w, r, configstore.Change{
		Operation: req.Operation,
		Author:    req.Author,
		Summary:   "withdraw " + req.ID,
		Edit:      func(s fleet.State) (fleet.State, error) { return setWithdrawn(s, req.ID, time.Now().UTC()) },
	})
}

// setWithdrawn returns s with the key withdrawn at the given time. A key that was
// withdrawn before keeps its time. It fails with result.UnknownName if there is no such
// key.
func setWithdrawn(s fleet.State, id string, at time.Time) (fleet.State, error) {
	i := slices.IndexFunc(s.Keys, func(k fleet.Key) bool { return k.ID == id })
	if i < 0 {
		return s, result.Errorf(result.UnknownName, "there is no key with ID %q", id)
	}
	s.Keys = slices.Clone(s.Keys)
	if s.Keys[i].WithdrawnAt.IsZero() {
		s.Keys[i].WithdrawnAt = at
	}
	return s, nil
}
