package record

import "context"

// MayRefuse reports whether the origin may answer "not run" for a claim that it
// refuses before Begin. If so, it ensures that attempts that arrived earlier do
// not start afterwards. It uses memory at the deciders, so it is for callers
// that may use the queue; see ConfirmUnseen for others.
func (s *Service) MayRefuse(ctx context.Context, c *Claim) bool {
	if c.Internal {
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

// ConfirmUnseen reports whether the origin may answer "not run" for a claim
// that it refuses because the caller may not use the queue. It uses no memory
// at the deciders. Earlier attempts of the id that are still in progress fail
// the same check of the caller, which is repeated before dispatch.
func (s *Service) ConfirmUnseen(ctx context.Context, c *Claim) bool {
	return c.Internal || s.lookupAtDeciders(ctx, c, 0).Verdict == Absent
}
