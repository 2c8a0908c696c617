package relay

import (
	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

// served logs the request's way to its answer.
func (r *run) served() {
	r.server.metrics.served(r.admitted.Sub(r.Received), r.first.Sub(r.Received))
	r.server.log.Info().Str("request", r.ID).Str("workspace", r.WorkspaceName()).Str("route", r.Route.Name).
		Strs("engines", r.tried).Int("engine_online", r.online).Int("engine_busy", r.busy).
		Int("reported_running", r.running).Int("reported_waiting", r.waiting).
		Dur("admitted", r.admitted.Sub(r.Received)).Dur("first_event", r.first.Sub(r.Received)).
		Dur("took", clock.Since(r.Received)).Int64("config_version", r.Catalog.Version).Int("runs", r.runs).
		Msg("request was served")
}

// decision starts a log line about the request at the engine.
func (r *run) decision(engine *blackboard.Engine, outcome string) *log.Entry {
	return r.server.log.Warn().Str("request", r.ID).Str("engine", engine.ID).Str("outcome", outcome).
		Int("engine_online", engine.OnlineBusy()).Int("engine_busy", engine.Busy()).
		Int64("config_version", r.Catalog.Version).Int("runs", r.runs)
}

// Refused logs a request that got no whole answer of an engine.
func (s *Server) Refused(id string, err error) {
	e := result.From(err)
	s.metrics.refused(e.Code)
	s.log.Warn().Str("request", id).Str("result", e.Code.String()).Int("code", int(e.Code)).Str("verdict", e.Verdict.String()).
		Dur("reading_age", clock.Since(s.board.Reading.Value().Sent)).Int64("reading_version", s.board.Reading.Value().Version).Str("detail", e.Text()).Msg("request was not served")
}
