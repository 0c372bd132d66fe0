package record

import "context"

// MayRefuse reports whether "not run" may be told for a claim that the origin
// refuses before Begin, and if so makes sure that attempts that arrived earlier
// do not start afterwards. It is for callers who may use the queue, since it
// takes memory at the deciders; see Unseen for others.
func (s *Service) MayRefuse(ctx context.Context, c *Claim) bool {
	if c.Own {
		return true
	}
	d := s.decide(ctx, c, 0)
	switch d.Verdict {
	case Proceed:
		s.Finish(ctx, c, ResultNotRun, nil)
		return true
	case Superseded:
		return true
	default:
		return false
	}
}

// Unseen reports whether "not run" may be told for a claim that the origin
// refuses because its caller may not use the queue. It takes no memory at the
// deciders. Attempts of the id that arrived earlier and are still under way fail
// by the same check of the caller, which is made again before dispatch.
func (s *Service) Unseen(ctx context.Context, c *Claim) bool {
	return c.Own || s.survey(ctx, c, 0).Verdict == Absent
}
