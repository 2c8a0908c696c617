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

// KeyRequest issues or withdraws a key.
type KeyRequest struct {
	Edit
	// Workspace is the owner of a new key.
	Workspace string `json:"workspace,omitempty"`
	// ID names the key to withdraw.
	ID string `json:"id,omitempty"`
}

// KeyResponse describes a new key. The key itself is shown only here.
type KeyResponse struct {
	// ID names the key in later commands.
	ID string `json:"id"`
	// Key is the key that callers present.
	Key string `json:"key"`
	// Version is the version of the configuration that holds the key.
	Version uint64 `json:"version"`
}

// KeyInfo describes an issued key.
type KeyInfo struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	Issued    time.Time `json:"issued"`
	Withdrawn time.Time `json:"withdrawn,omitzero"`
}

func (g *Gateway) listKeys(w http.ResponseWriter, _ *http.Request, _ string) error {
	view := g.view()
	if view == nil {
		return result.New(result.ConfigMissing, result.NotRun)
	}
	list := make([]KeyInfo, 0, len(view.Keys))
	for _, k := range view.Keys {
		list = append(list, KeyInfo{ID: k.ID, Workspace: k.Workspace, Issued: k.IssuedAt, Withdrawn: k.WithdrawnAt})
	}
	slices.SortFunc(list, func(a, b KeyInfo) int { return a.Issued.Compare(b.Issued) })
	writeJSON(w, http.StatusOK, list)
	return nil
}

const (
	keyBytes  = 32
	keyPrefix = "bl-"
	keyIDLen  = 8
)

// newKey returns a random key and its entry for the workspace.
func newKey(workspace string) (string, fleet.Key, error) {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", fleet.Key{}, err
	}
	text := keyPrefix + base64.RawURLEncoding.EncodeToString(random)
	digest := sha256.Sum256([]byte(text))
	id := base64.RawURLEncoding.EncodeToString(digest[:])[:keyIDLen]
	return text, fleet.Key{ID: "key-" + id, Digest: digest, Workspace: workspace, IssuedAt: time.Now().UTC()}, nil
}

func (g *Gateway) issueKey(w http.ResponseWriter, r *http.Request, _ string) error {
	req, err := decodeAdmin[KeyRequest](g, w, r)
	if err != nil {
		return err
	}
	text, key, err := newKey(req.Workspace)
	if err != nil {
		return err
	}
	head, err := g.accept(r.Context(), configstore.Change{
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

func addKey(s fleet.State, key fleet.Key) (fleet.State, error) {
	known := func(w fleet.Workspace) bool { return w.Name == key.Workspace }
	if !slices.ContainsFunc(s.Inventory.Workspaces, known) {
		return s, result.Errorf(result.UnknownName, "workspace %q does not exist", key.Workspace)
	}
	s.Keys = append(slices.Clip(s.Keys), key)
	return s, nil
}

func (g *Gateway) withdrawKey(w http.ResponseWriter, r *http.Request, _ string) error {
	req, err := decodeAdmin[KeyRequest](g, w, r)
	if err != nil {
		return err
	}
	return g.change(w, r, configstore.Change{
		Operation: req.Operation,
		Author:    req.Author,
		Summary:   "withdraw " + req.ID,
		Edit:      func(s fleet.State) (fleet.State, error) { return withdraw(s, req.ID, time.Now().UTC()) },
	})
}

func withdraw(s fleet.State, id string, at time.Time) (fleet.State, error) {
	i := slices.IndexFunc(s.Keys, func(k fleet.Key) bool { return k.ID == id })
	if i < 0 {
		return s, result.Errorf(result.UnknownName, "key %q does not exist", id)
	}
	s.Keys = slices.Clone(s.Keys)
	if s.Keys[i].WithdrawnAt.IsZero() {
		s.Keys[i].WithdrawnAt = at
	}
	return s, nil
}
