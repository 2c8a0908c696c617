package gateway

import (
	"errors"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

func (g *Gateway) fileRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/files", Handler: g.withWorkspace(g.uploadFile)},
		{Method: http.MethodGet, Path: "/v1/files/:id", Handler: g.withWorkspace(g.getFile)},
		{Method: http.MethodGet, Path: "/v1/files/:id/content", Handler: g.withWorkspace(g.fileContent)},
	}
}

// fileObject describes a file to callers.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileObject(f batch.File) fileObject {
	return fileObject{
		ID:        f.ID,
		Object:    "file",
		Bytes:     f.Bytes,
		CreatedAt: f.Created.Unix(),
		Filename:  f.Name,
		Purpose:   "batch",
		Status:    "processed",
	}
}

// uploadFile stores the file part of a multipart form as it arrives.
func (g *Gateway) uploadFile(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.settings.BodyTimeout))
	limit := g.view().Inventory.Rules.MaxFileBytes
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	parts, err := r.MultipartReader()
	if err != nil {
		return result.Errorf(result.UnsupportedType, "the request is not a multipart form")
	}
	part, err := filePart(parts)
	if err != nil {
		return err
	}
	key, err := readCredential(r.Header)
	if err != nil {
		return err
	}
	content := key.guard(part)
	f, err := g.jobs.PutFile(r.Context(), workspace.Name, part.FileName(), content)
	if content.leaks {
		return errFileLeaks
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyError(err, limit)
	}
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newFileObject(f))
	return nil
}

// filePart returns the part named file, after checking the purpose if it comes
// before.
func filePart(parts *multipart.Reader) (*multipart.Part, error) {
	const maxField = 1 << 10
	for {
		part, err := parts.NextPart()
		if err != nil {
			return nil, result.Errorf(result.BadRequest, "the form has no part named file")
		}
		switch part.FormName() {
		case "file":
			return part, nil
		case "purpose":
			value, err := io.ReadAll(io.LimitReader(part, maxField))
			if err != nil {
				return nil, result.Errorf(result.BadRequest, "the form is malformed")
			}
			if purpose := strings.TrimSpace(string(value)); purpose != "batch" {
				return nil, result.Errorf(result.BadRequest, "purpose %q is not batch", purpose)
			}
		}
	}
}

func (g *Gateway) getFile(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error {
	f, err := g.jobs.File(r.Context(), workspace.Name, pathvar.Vars(r)["id"])
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newFileObject(f))
	return nil
}

func (g *Gateway) fileContent(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error {
	body, err := g.jobs.Content(r.Context(), workspace.Name, pathvar.Vars(r)["id"])
	if err != nil {
		return err
	}
	defer body.Close()
	w.Header().Set("Content-Type", "application/jsonl")
	if _, err := io.Copy(w, body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}
