package peer

import (
	"context"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/core/rates"
	"mustardnotch/gen/meshpb"
)

// Borrow implements [rates.LoanClient].
func (c *Client) Borrow(ctx context.Context, holder mn.Member, l rates.Loan) (float64, error) {
	reply, err := c.service(ctx, holder.Addr).Borrow(ctx, &meshpb.BorrowRequest{
		Customer:    string(l.Customer),
		Vm:          string(c.vm),
		Incarnation: string(holder.Incarnation),
		Amount:      l.Amount,
		Id:          l.ID,
	})
	if err != nil {
		return 0, fmt.Errorf("borrow from %s at %s: %w", holder.VM, holder.Addr, err)
	}
	return max(0, min(reply.Granted, l.Amount)), nil
}

// ShareLender lends from a process's shares of customers' rates. It implements
// [Lender].
type ShareLender struct {
	// Lend grants the loan or part of it and returns the amount.
	Lend func(rates.Loan) float64
}

// Borrow implements [Lender].
func (l ShareLender) Borrow(_ context.Context, in *meshpb.BorrowRequest) (*meshpb.BorrowReply, error) {
	loan := rates.Loan{ID: in.Id, Customer: mn.CustomerID(in.Customer), Amount: in.Amount}
	return &meshpb.BorrowReply{Granted: l.Lend(loan), LifeMs: int64(rates.LoanTTL)}, nil
}
