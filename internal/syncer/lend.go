package syncer

import (
	"context"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/allotter"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// Lend implements peerv1.FleetCommands.
func (s *Server) Lend(_ context.Context, r *peerv1.LendRequest) (*peerv1.LendResponse, error) {
	return encodeLendResponse(s.Quotas.lend(decodeLendRequest(r))), nil
}

// NotifyLenders passes changed appointments of lenders on to the watchers.
func (s *Server) NotifyLenders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delta.lendersVersion = s.version + 1
	s.notifyWatchersLocked()
}

// lendersLocked returns the appointments for a response to an instance: if they have changed
// since the base, and always to a lender, whose appointment each response extends.
func (s *Server) lendersLocked(instance string, base uint64) []*peerv1.Appointment {
	list, isLender := s.Quotas.appointmentsFor(s.members[instance].GetIncarnation())
	if base != 0 && !isLender && s.delta.lendersVersion <= base {
		return nil
	}
	return list
}

func encodeLendRequest(r allotter.Request, instance string) *peerv1.LendRequest {
	out := &peerv1.LendRequest{Instance: instance, Incarnation: r.Borrower, Sequence: r.Sequence, Lender: r.Lender}
	for _, l := range r.Loans {
		out.Loans = append(out.Loans, &peerv1.Loan{Account: l.Account, Amount: l.Amount, Returned: l.Returned, ReturnedStamp: int64(l.ReturnedStamp)})
	}
	return out
}

func decodeLendRequest(r *peerv1.LendRequest) allotter.Request {
	out := allotter.Request{Borrower: r.GetIncarnation(), Sequence: r.GetSequence(), Lender: r.GetLender()}
	for _, l := range r.GetLoans() {
		out.Loans = append(out.Loans, allotter.Loan{
			Account: l.GetAccount(), Amount: l.GetAmount(), Returned: l.GetReturned(), ReturnedStamp: time.Duration(l.GetReturnedStamp()),
		})
	}
	return out
}

func encodeLendResponse(r allotter.Response) *peerv1.LendResponse {
	out := &peerv1.LendResponse{IsLender: r.IsLender, ValidMs: milliseconds(r.Validity), Stamp: int64(r.Stamp)}
	for _, l := range r.Loans {
		out.Loans = append(out.Loans, &peerv1.Loan{Account: l.Account, Amount: l.Amount, RetryMs: milliseconds(l.Retry), Left: l.Left})
	}
	return out
}

func decodeLendResponse(r *peerv1.LendResponse) allotter.Response {
	out := allotter.Response{IsLender: r.GetIsLender(), Validity: time.Duration(r.GetValidMs()) * time.Millisecond, Stamp: time.Duration(r.GetStamp())}
	for _, l := range r.GetLoans() {
		out.Loans = append(out.Loans, allotter.Loan{
			Account: l.GetAccount(), Amount: l.GetAmount(), Retry: time.Duration(l.GetRetryMs()) * time.Millisecond, Left: l.GetLeft(),
		})
	}
	return out
}
