package postgres

import (
	"testing"

	"embershunt/dispatch"
)

// Each outcome is encoded as its answer. Only that of a query that was shed has a code of class 53 or 57P03, which tell a client that a
// retry does no harm.
func TestOutcomesAsAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		v    dispatch.Outcome
		want string
	}{
		"served":     {servedRows(3), "TDDDCZ"},
		"no rows":    {servedRows(0), "TCZ"},
		"shed":       {dispatch.Outcome{Kind: dispatch.Shed, Reason: dispatch.ReasonOverload, RetryAfter: 250700}, "E(53000)(pause 250)Z"},
		"shed, full": {dispatch.Outcome{Kind: dispatch.Shed, Reason: dispatch.ReasonFull}, "E(53000)Z"},
		"draining":   {dispatch.Outcome{Kind: dispatch.Shed, Reason: dispatch.ReasonDraining}, "E(57P03)Z"},
		"failed":     {dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonAttemptFailed, RetryAfter: 5000}, "E(58000)Z"},
		"deadline":   {dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonDeadline}, "E(57014)Z"},
		"stopped":    {dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonStopped}, "E(57P01)Z"},
		"fault":      {dispatch.Outcome{Kind: dispatch.Failed, Reason: dispatch.ReasonInternal}, "E(XX000)Z"},
		"no result":  {dispatch.Outcome{Kind: dispatch.Served}, "E(XX000)Z"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Options{}, func(*dispatch.Query) (dispatch.Outcome, bool) { return c.v, true })
			cl := s.session()
			for i := range 2 {
				send(cl, queryWithFields(i, "SELECT 1"))
				if got := cl.until('Z'); got != c.want {
					t.Errorf("%s, want %s", got, c.want)
				}
			}
		})
	}
}
