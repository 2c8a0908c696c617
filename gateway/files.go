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

// fileRoutes returns the routes for batch files, in the form of the OpenAI files API.
func (g *Gateway) fileRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/files", Handler: g.withWorkspace(g.uploadFile)},
		{Method: http.MethodGet, Path: "/v1/files/:id", Handler: g.withWorkspace(g.getFile)},
		{Method: http.MethodGet, Path: "/v1/files/:id/content", Handler: g.withWorkspace(g.getFileContent)},
	}
}

// fileObject describes a file to callers. CreatedAt is a Unix time in seconds.
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

// uploadFile stores the file of a multipart form while it arrives, without holding it in
// memory. It rejects a file that contains the caller's key, as checkLeak does for a body.
func (g *Gateway) uploadFile(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.settings.BodyTimeout))
	limit := g.view().Inventory.Rules.MaxFileBytes
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	parts, err := r.MultipartReader()
	if err != nil {
		return result.Errorf(result.UnsupportedType, "the request is not a multipart/form-data form")
	}
	part, err := nextFilePart(parts)
	if err != nil {
		return err
	}
	key, err := readCredential(r.Header)
	if err != nil {
		return err
	}
	content := key.newLeakReader(part)
	f, err := g.jobs.PutFile(r.Context(), workspace.Name, part.FileName(), content)
	if content.foundKey {
		return errFileContainsKey
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return readBodyError(err, limit)
	}
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newFileObject(f))
	return nil
}

// nextFilePart reads the form up to the part named file and returns that part. It checks
// the part named purpose if it comes first, and skips all others. It fails with
// result.BadRequest if there is no file or the purpose is wrong.
func nextFilePart(parts *multipart.Reader) (*multipart.Part, error) {
	const maxPurposeBytes = 1 << 10
	for {
		part, err := parts.NextPart()
		if err != nil {
			return nil, result.Errorf(result.BadRequest, "no part named \"file\" could be read from the form")
		}
		switch part.FormName() {
		case "file":
			return part, nil
		case "purpose":
			value, err := io.ReadAll(io.LimitReader(part, maxPurposeBytes))
			if err != nil {
				return nil, result.Errorf(result.BadRequest, "the part named \"purpose\" could not be read from the form")
			}
			if purpose := strings.TrimSpace(string(value)); purpose != "batch" {
				return nil, result.Errorf(result.BadRequest, "the purpose is %q, but must be \"batch\"", purpose)
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

// getFileContent sends the content of an uploaded file or of a job's result file. If
// reading it fails midway, it closes the connection, so that the caller does not take the
// part for the whole.
func (g *Gateway) getFileContent(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error {
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
