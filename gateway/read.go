package gateway

import (
	"crypto/sha256"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

// credential is the key that a request presents.
type credential struct {
	text   string
	digest fleet.KeyDigest
}

func (c credential) present() bool { return c.text != "" }

// readCredential returns the key in the request's header. A request without
// one has an empty credential.
func readCredential(h http.Header) (credential, error) {
	for _, name := range []string{"Authorization", "X-Api-Key"} {
		if len(h.Values(name)) > 1 {
			return credential{}, result.Errorf(result.RepeatedHeader, "header %s was repeated", name)
		}
	}
	bearer, apiKey := h.Get("Authorization"), h.Get("X-Api-Key")
	if bearer != "" && apiKey != "" {
		return credential{}, result.Errorf(result.RepeatedHeader, "both Authorization and X-Api-Key were sent")
	}
	text := apiKey
	if bearer != "" {
		scheme, token, _ := strings.Cut(bearer, " ")
		if !strings.EqualFold(scheme, "Bearer") {
			return credential{}, result.Errorf(result.BadRequest, "Authorization must be a bearer token")
		}
		text = strings.TrimSpace(token)
	}
	if text == "" {
		return credential{}, nil
	}
	return credential{text: text, digest: sha256.Sum256([]byte(text))}, nil
}

// readBody reads a body of at most limit bytes within the timeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, bodyError(err, limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.Errorf(result.BodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.BodyTimeout, result.NotRun)
	default:
		return result.New(result.CallerGone, result.NotRun)
	}
}

// checkJSONType refuses a request whose content is not JSON.
func checkJSONType(r *http.Request) error {
	if len(r.Header.Values("Content-Type")) > 1 {
		return result.Errorf(result.RepeatedHeader, "header Content-Type was repeated")
	}
	text := r.Header.Get("Content-Type")
	kind, _, err := mime.ParseMediaType(text)
	if err != nil || kind != "application/json" {
		return result.Errorf(result.UnsupportedType, "content type %q is not application/json", text)
	}
	return nil
}
