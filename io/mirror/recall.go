package mirror

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft/core/leader"
	"coltsfootloft/io/decode"
	"coltsfootloft/io/mirror/mirrorpb"
)

// recallName is the name under which hosts ask each other what they know of earlier eras.
const recallName = "recall"

// Recall sends this host's era to another host, and returns the newest record of each group
// that the other one knows. Once it has answered, that host uses no rights of an earlier era.
func (m *Mirror) Recall(ctx context.Context, host string) (map[string]leader.Record, error) {
	b, err := proto.Marshal(&mirrorpb.Recall{Era: m.Era()})
	if err != nil {
		panic(err) // a message of numbers always encodes
	}
	b, err = m.Peers.Call(ctx, host, recallName, b)
	if err != nil {
		return nil, errors.Wrap(err, "recall")
	}
	var answer mirrorpb.Recalled
	if err := decode.Message(b, &answer); err != nil {
		return nil, errors.Wrap(err, "recalled records")
	}
	records := make(map[string]leader.Record, len(answer.GetRecords()))
	for group, value := range answer.GetRecords() {
		r, err := leader.Decode(value)
		if err != nil {
			return nil, err
		}
		records[group] = r
	}
	return records, nil
}

// handleRecall answers another host's Recall.
func (m *Mirror) handleRecall(_ context.Context, _ string, body []byte) ([]byte, error) {
	var r mirrorpb.Recall
	if err := proto.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "recall")
	}
	m.ObserveEra(r.GetEra())
	answer := &mirrorpb.Recalled{Records: make(map[string][]byte)}
	for group, record := range m.View().NewestRecords() {
		answer.Records[group] = record.Encode()
	}
	b, err := proto.Marshal(answer)
	return b, errors.Wrap(err, "recalled records")
}
