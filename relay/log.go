package relay

import (
	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

// recordServed logs and counts a request that got its complete response.
func (r *activeRequest) recordServed() {
	r.server.metrics.recordServed(r.admittedAt.Sub(r.Received), r.responseStartedAt.Sub(r.Received))
	r.server.log.Info().Str("request", r.ID).Str("workspace", r.WorkspaceName()).Str("route", r.Route.Name).
		Strs("engines", r.triedIDs()).Int("engine_online", r.engineOnline).Int("engine_busy", r.engineBusy).
		Int("reported_running", r.reportedRunning).Int("reported_waiting", r.reportedWaiting).
		Dur("admitted", r.admittedAt.Sub(r.Received)).Dur("first_event", r.responseStartedAt.Sub(r.Received)).
		Dur("took", clock.Since(r.Received)).Int64("config_version", r.Catalog.Version).Int("runs", r.runs).
		Msg("request was served")
}

// logAttempt starts a warning about the attempt at the engine.
func (r *activeRequest) logAttempt(engine *blackboard.Engine, outcome string) *log.Entry {
	return r.server.log.Warn().Str("request", r.ID).Str("engine", engine.ID).Str("outcome", outcome).
		Int("engine_online", engine.OnlineRequestCount()).Int("engine_busy", engine.RequestCount()).
		Int64("config_version", r.Catalog.Version).Int("runs", r.runs)
}

// recordIncomplete logs and counts a response that ended before it was complete, with what
// tells the reasons apart: how much time was left, and whether the configuration changed
// meanwhile.
func (r *activeRequest) recordIncomplete(err error) {
	code := result.CodeOf(err)
	r.server.metrics.incomplete.WithLabelValues(code.String()).Inc()
	inForce := r.Catalog.Version
	if cat := r.server.board.Catalog.Value(); cat != nil {
		inForce = cat.Version
	}
	r.server.log.Warn().Str("request", r.ID).Str("route", r.Route.Name).Str("result", code.String()).
		Strs("engines", r.triedIDs()).Int("runs", r.runs).Int("rejections", r.rejections).Int64("event", r.lastEvent).
		Dur("took", clock.Since(r.Received)).Dur("time_left", r.deadline.Sub(clock.Now())).
		Int64("config_version", r.Catalog.Version).Int64("config_in_force", inForce).
		Msg("response ended before it was complete")
}

// RecordFailure logs and counts a request that got no complete response.
func (s *Server) RecordFailure(id string, err error) {
	e := result.FromError(err)
	s.metrics.countFailure(e.Code)
	s.log.Warn().Str("request", id).Str("result", e.Code.String()).Int("code", int(e.Code)).Str("verdict", e.Verdict.String()).
		Dur("reading_age", clock.Since(s.board.ConfigRead.Value().SentAt)).Int64("reading_version", s.board.ConfigRead.Value().Version).Str("detail", e.Text()).Msg("request was not served")
}
