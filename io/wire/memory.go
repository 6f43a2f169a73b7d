package wire

import (
	mn "mustardnotch"
	"mustardnotch/core/calls"
	"mustardnotch/gen/meshpb"
)

// Fingerprint returns what has to be the same in all calls with the key of r.
func Fingerprint(r *meshpb.Request) calls.Fingerprint {
	return calls.FingerprintOf(mn.CustomerID(r.Customer), mn.PoolID(r.Pool), r.Call.Path, r.Call.Body)
}

// EncodeTransfer returns m as it crosses between agents of pool.
func EncodeTransfer(pool mn.PoolID, m calls.Transfer) *meshpb.HandoverRequest {
	out := &meshpb.HandoverRequest{
		Pool:        string(pool),
		Vm:          string(m.From),
		Incarnation: string(m.Incarnation),
		To:          string(m.To),
		AsOf:        int64(m.RosterOffset),
		Final:       m.Final,
		Among:       stringsOf(m.Recipients),
		Partial:     m.OutcomesOnly,
	}
	for _, k := range m.Keys {
		out.Keys = append(out.Keys, &meshpb.HandoverKey{
			Key:         string(k.Key),
			RequestId:   string(k.ID),
			Fingerprint: k.Fingerprint[:],
			Phase:       int32(k.Phase),
			Body:        k.Answer,
			Dropped:     k.Dropped,
		})
	}
	for _, g := range m.Gaps {
		out.Lacks = append(out.Lacks, &meshpb.HandoverGap{
			Members:     stringsOf(g.Members),
			Lost:        string(g.Lost),
			Incarnation: string(g.Incarnation),
			UntilMs:     int64(g.Until),
			Since:       int64(g.Since),
		})
	}
	return out
}

// DecodeTransfer is the inverse of [EncodeTransfer].
func DecodeTransfer(in *meshpb.HandoverRequest) (calls.Transfer, error) {
	m := calls.Transfer{
		From:         mn.VMID(in.Vm),
		Incarnation:  mn.Incarnation(in.Incarnation),
		To:           mn.Incarnation(in.To),
		RosterOffset: mn.Offset(in.AsOf),
		Final:        in.Final,
		Recipients:   vmsOf(in.Among),
		OutcomesOnly: in.Partial,
	}
	for _, k := range in.Keys {
		kept := calls.KeyState{
			Key:     mn.IdempotencyKey(k.Key),
			ID:      mn.RequestID(k.RequestId),
			Phase:   calls.Phase(k.Phase),
			Answer:  k.Body,
			Dropped: k.Dropped,
		}
		if copy(kept.Fingerprint[:], k.Fingerprint) != len(kept.Fingerprint) {
			return m, mn.Errorf(mn.BadRequest, "key %s: fingerprint has %d bytes, want %d", k.Key, len(k.Fingerprint), len(kept.Fingerprint))
		}
		m.Keys = append(m.Keys, kept)
	}
	for _, g := range in.Lacks {
		m.Gaps = append(m.Gaps, calls.Gap{
			Members:     vmsOf(g.Members),
			Lost:        mn.VMID(g.Lost),
			Incarnation: mn.Incarnation(g.Incarnation),
			Until:       mn.Millis(g.UntilMs),
			Since:       mn.Offset(g.Since),
		})
	}
	return m, nil
}

func stringsOf(vms []mn.VMID) []string {
	var out []string
	for _, v := range vms {
		out = append(out, string(v))
	}
	return out
}

func vmsOf(names []string) []mn.VMID {
	var out []mn.VMID
	for _, n := range names {
		out = append(out, mn.VMID(n))
	}
	return out
}
