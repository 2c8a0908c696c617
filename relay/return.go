package relay

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/admission"
	"github.com/baobablanding/baobablanding/policy/bucket"
	"github.com/baobablanding/baobablanding/result"
)

// admitByRate takes a token of the workspace's rate, as takeToken does. A caller that gets
// none and states how long it waits is told when a token is expected for it.
func (s *Server) admitByRate(ctx context.Context, w *catalog.Workspace, req *Request) error {
	err := s.takeToken(ctx, w)
	if err == nil || result.CodeOf(err) != result.RateExceeded {
		return err
	}
	return s.planReturn(s.inForce(w), req, result.FromError(err))
}

// planReturn returns the refusal with the time at which the caller should come back, and with
// what that rests on.
func (s *Server) planReturn(w *catalog.Workspace, req *Request, refusal *result.Error) error {
	limiter := s.board.RateLimiters.Value().ByWorkspace[w.Name]
	if limiter == nil {
		return refusal
	}
	limiter.Refused.Add(1)
	if req.CallerTimeout <= 0 {
		s.metrics.refusals.WithLabelValues(reasonRate).Inc()
		return refusal
	}
	now := clock.Now()
	estimate := limiter.Estimate.Value()
	share := limiter.ShareHere(s.board.Roster.Value().Size())
	back := limiter.Returns.Join(admission.Refusal{
		Now: now, Earliest: refusal.RetryAfter, Debt: estimate.Wait(bucket.Limit{Rate: w.Rate}), PerSecond: share * w.Rate,
		CallerLeft: req.timeLeft(now), Random: s.random(),
	})
	reason := reasonRate
	if back.Late {
		reason = reasonRateLate
	}
	s.metrics.refusals.WithLabelValues(reason).Inc()
	return result.Errorf(refusal.Code, "%s; back in %v, late %t, told to come back before it until %v; share here %.3f, estimate %.1f tokens, %v old, heard part %.2f",
		refusal.Text(), back.After.Round(time.Millisecond), back.Late, back.Waiting.Round(time.Millisecond),
		share, estimate.Tokens(), estimate.Age(now).Round(time.Millisecond), s.board.ReportingFraction()).WithRetryAfter(back.After)
}

// timeLeft returns how long the caller still waits for its response.
func (r *Request) timeLeft(now clock.Instant) time.Duration {
	return max(r.CallerTimeout-now.Sub(r.Received), 0)
}
