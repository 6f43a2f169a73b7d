package wire

import (
	mn "mustardnotch"
	"mustardnotch/core/calls"
	"mustardnotch/gen/meshpb"
)

// CallFingerprint returns the fingerprint of what has to be the same in all calls with
// the idempotency key of r.
func CallFingerprint(r *meshpb.Request) calls.Fingerprint {
	return calls.FingerprintOf(mn.CustomerID(r.Customer), mn.PoolID(r.Pool), r.Call.Path, r.Call.Body)
}

// EncodeTransfer returns the message for a transfer between agents of pool.
func EncodeTransfer(pool mn.PoolID, transfer calls.Transfer) *meshpb.HandoverRequest {
	out := &meshpb.HandoverRequest{
		Pool:        string(pool),
		Vm:          string(transfer.From),
		Incarnation: string(transfer.Incarnation),
		To:          string(transfer.To),
		AsOf:        int64(transfer.RosterOffset),
		Final:       transfer.Final,
		Among:       toStrings(transfer.Recipients),
		Partial:     transfer.OutcomesOnly,
	}
	for _, k := range transfer.Keys {
		out.Keys = append(out.Keys, &meshpb.HandoverKey{
			Key:         string(k.Key),
			RequestId:   string(k.ID),
			Fingerprint: k.Fingerprint[:],
			Phase:       int32(k.Phase),
			Body:        k.Answer,
			Dropped:     k.AnswerDropped,
		})
	}
	for _, g := range transfer.Gaps {
		out.Lacks = append(out.Lacks, &meshpb.HandoverGap{
			Members:     toStrings(g.Members),
			Lost:        string(g.Lost),
			Incarnation: string(g.Incarnation),
			UntilMs:     int64(g.Until),
			Since:       int64(g.SinceOffset),
		})
	}
	return out
}

// DecodeTransfer is the inverse of [EncodeTransfer].
func DecodeTransfer(in *meshpb.HandoverRequest) (calls.Transfer, error) {
	transfer := calls.Transfer{
		From:         mn.VMID(in.Vm),
		Incarnation:  mn.Incarnation(in.Incarnation),
		To:           mn.Incarnation(in.To),
		RosterOffset: mn.Offset(in.AsOf),
		Final:        in.Final,
		Recipients:   toVMIDs(in.Among),
		OutcomesOnly: in.Partial,
	}
	for _, k := range in.Keys {
		key := calls.KeyState{
			Key:           mn.IdempotencyKey(k.Key),
			ID:            mn.RequestID(k.RequestId),
			Phase:         calls.Phase(k.Phase),
			Answer:        k.Body,
			AnswerDropped: k.Dropped,
		}
		if copy(key.Fingerprint[:], k.Fingerprint) != len(key.Fingerprint) {
			return transfer, mn.Errorf(mn.BadRequest, "key %s: fingerprint has %d bytes, want %d", k.Key, len(k.Fingerprint), len(key.Fingerprint))
		}
		transfer.Keys = append(transfer.Keys, key)
	}
	for _, g := range in.Lacks {
		transfer.Gaps = append(transfer.Gaps, calls.Gap{
			Members:     toVMIDs(g.Members),
			Lost:        mn.VMID(g.Lost),
			Incarnation: mn.Incarnation(g.Incarnation),
			Until:       mn.Millis(g.UntilMs),
			SinceOffset: mn.Offset(g.Since),
		})
	}
	return transfer, nil
}

func toStrings(vms []mn.VMID) []string {
	var out []string
	for _, v := range vms {
		out = append(out, string(v))
	}
	return out
}

func toVMIDs(names []string) []mn.VMID {
	var out []mn.VMID
	for _, n := range names {
		out = append(out, mn.VMID(n))
	}
	return out
}
