package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/baobablanding/baobablanding/budget"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

// credential is the key that a request carries. The zero value means that it carries
// none.
type credential struct {
	text   string
	digest fleet.KeyDigest
}

func (c credential) isPresent() bool { return c.text != "" }

// readCredential returns the key in the header Authorization or X-Api-Key, or the zero
// credential if there is none. It fails with result.RepeatedHeader if there are several,
// and with result.BadRequest if Authorization holds no bearer token.
func readCredential(h http.Header) (credential, error) {
	for _, name := range []string{"Authorization", "X-Api-Key"} {
		if len(h.Values(name)) > 1 {
			return credential{}, result.Errorf(result.RepeatedHeader, "header %s was sent more than once", name)
		}
	}
	bearer, apiKey := h.Get("Authorization"), h.Get("X-Api-Key")
	if bearer != "" && apiKey != "" {
		return credential{}, result.Errorf(result.RepeatedHeader, "both headers Authorization and X-Api-Key were sent; send the key in one of them only")
	}
	text := apiKey
	if bearer != "" {
		scheme, token, _ := strings.Cut(bearer, " ")
		if !strings.EqualFold(scheme, "Bearer") {
			return credential{}, result.Errorf(result.BadRequest, "header Authorization must have the form \"Bearer KEY\"")
		}
		text = strings.TrimSpace(token)
	}
	if text == "" {
		return credential{}, nil
	}
	return credential{text: text, digest: sha256.Sum256([]byte(text))}, nil
}

// errNoRoom means that the budget of the process has no room for a body.
var errNoRoom = result.New(result.QueueFull, result.NotRun)

// readBody reads a body of at most limit bytes within the timeout for bodies. Its room is taken
// from the budget until the request ends. It fails with result.BodyTooLarge, result.BodyTimeout,
// result.QueueFull or result.CallerGone.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.settings.BodyTimeout))
	counted := &countedBody{Reader: http.MaxBytesReader(w, r.Body, limit), budget: g.budget}
	body, err := io.ReadAll(counted)
	context.AfterFunc(r.Context(), counted.release) // the handler holds the body until then
	if err != nil {
		return nil, readBodyError(err, limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// bodyCost is the memory that a byte of a body takes: io.ReadAll copies what it has read when its
// buffer grows.
const bodyCost = 2

// countedBody takes what is read from it from the budget.
type countedBody struct {
	io.Reader
	budget *budget.Budget
	taken  int64
}

// Read implements io.Reader. It fails with errNoRoom if the budget has no room.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if !b.budget.Take(int64(n) * bodyCost) {
		return 0, errNoRoom
	}
	b.taken += int64(n) * bodyCost
	return n, err
}

// release gives the room back.
func (b *countedBody) release() { b.budget.Release(b.taken) }

// readBodyError returns the result error for err, which occurred while a body of at most
// limit bytes was read.
func readBodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom):
		return errNoRoom
	case errors.As(err, &tooLarge):
		return result.Errorf(result.BodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.BodyTimeout, result.NotRun)
	default:
		return result.New(result.CallerGone, result.NotRun)
	}
}

// checkJSONType returns an error with code result.UnsupportedType if the request does not
// declare its content as JSON, and with result.RepeatedHeader if it declares it twice.
func checkJSONType(r *http.Request) error {
	if len(r.Header.Values("Content-Type")) > 1 {
		return result.Errorf(result.RepeatedHeader, "header Content-Type was sent more than once")
	}
	contentType := r.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil || mediaType != "application/json" {
		return result.Errorf(result.UnsupportedType, "header Content-Type is %q, but must be application/json", contentType)
	}
	return nil
}
