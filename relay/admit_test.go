package relay

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

// newServer returns a server on a board without shares.
func newServer() (*Server, *blackboard.Entry) {
	board := blackboard.NewEntry()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return NewServer(board, nil, "dc-1", time.Second, NewMetrics(prometheus.NewRegistry()), logger), board
}

// TestWorkspaceThatIsNewIsAdmittedOnceItsShareIsThere asks for a token between
// the publication of a configuration and that of the shares of its workspaces.
func TestWorkspaceThatIsNewIsAdmittedOnceItsShareIsThere(t *testing.T) {
	s, board := newServer()
	w := &catalog.Workspace{Name: "w", Rate: 10, Burst: 10}
	time.AfterFunc(tokenWait/4, func() {
		share := blackboard.NewShare()
		share.Grant.Publish(blackboard.NewGrant(1, clock.Now().Add(time.Minute), 0))
		board.Shares.Publish(&blackboard.Shares{ByWorkspace: map[string]*blackboard.Share{"w": share}})
	})
	if err := s.takeToken(t.Context(), w); err != nil {
		t.Errorf("a request within the rate was refused: %v", err)
	}
}

func TestWorkspaceWithoutAShareIsRefusedInTheEnd(t *testing.T) {
	s, _ := newServer()
	start := time.Now()
	err := s.takeToken(t.Context(), &catalog.Workspace{Name: "w", Rate: 10})
	if e := result.From(err); err == nil || e.Verdict != result.NotRun || e.RetryAfter == 0 {
		t.Errorf("error %v", err)
	}
	if took := time.Since(start); took > 5*tokenWait {
		t.Errorf("refused after %v", took)
	}
}
