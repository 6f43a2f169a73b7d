package peer

import (
	"context"
	"fmt"

	mn "mustardnotch"
	"mustardnotch/gen/meshpb"
)

// NotifyCrash sends a crash notice to a peer and waits for its acknowledgement.
func (c *Client) NotifyCrash(ctx context.Context, to mn.Member, crash mn.CrashRecord) error {
	_, err := c.service(ctx, to.Addr).Alarm(ctx, &meshpb.AlarmRequest{
		Fingerprint: crash.Fingerprint,
		Crash:       &meshpb.Crash{Vm: string(crash.VM), WallMs: int64(crash.SeenAt)},
	})
	if err != nil {
		return fmt.Errorf("send crash notice to %s at %s: %w", to.VM, to.Addr, err)
	}
	return nil
}

// Alarm implements the Peer service.
func (s *Server) Alarm(_ context.Context, in *meshpb.AlarmRequest) (*meshpb.AlarmReply, error) {
	if s.onCrash != nil && in.Crash != nil {
		s.onCrash(mn.CrashRecord{Fingerprint: in.Fingerprint, VM: mn.VMID(in.Crash.Vm), SeenAt: mn.Millis(in.Crash.WallMs)})
	}
	return &meshpb.AlarmReply{}, nil
}
