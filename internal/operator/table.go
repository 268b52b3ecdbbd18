package operator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/configuration"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/table"
)

// commit writes a row whose last revision is known. Where the answer is lost,
// it sends the same write again: the condition then fails if the first took
// effect, and the row tells whose write it was.
func (s *Server) commit(ctx context.Context, key string, revision int64, v *configuration.ResourceRow) (*table.Row, int64, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, 0, err
	}
	t := &table.Transaction{
		Conditions: []table.Condition{{Key: key, Revision: revision}},
		Writes:     []table.Write{{Key: key, Value: b}},
	}
	for attempt := 1; ; attempt++ {
		r, err := s.Commit(ctx, t)
		switch {
		case err == nil && r.Committed:
			return nil, r.Revision, nil
		case err == nil:
			return resolveConflict(r, v.WriteID)
		case attempt == commitAttempts || !outcomeUnknown(err, attempt):
			return nil, 0, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, err
		case <-time.After(commitBackoff << attempt):
		}
	}
}

// current returns the row of a resource, and what it holds unless that was deleted.
func (s *Server) current(ctx context.Context, k resource.Kind, name string) (*table.Row, *resource.Resource, error) {
	key := configuration.ResourceKey(k, name)
	row, err := s.Get(ctx, key)
	if err != nil {
		return nil, nil, err
	}
	if row == nil {
		return &table.Row{Key: key}, nil, nil
	}
	v := new(configuration.ResourceRow)
	if err := json.Unmarshal(row.Value, v); err != nil {
		return nil, nil, fail.Wrap(fail.Unknown, fail.Origin{Peer: "platform", Step: "read resource"}, "platform_garbled", err)
	}
	if v.Deleted {
		return row, nil, nil
	}
	return row, configuration.WithRevision(v.Resource, row.Revision), nil
}

// resolveConflict tells a transaction that was refused because an earlier send of it
// took effect from one that lost to another write.
func resolveConflict(r *table.Result, writeID string) (*table.Row, int64, error) {
	if len(r.Current) != 1 {
		return nil, 0, errors.New("the platform told no reason for a refused transaction")
	}
	if writtenBy(&r.Current[0], writeID) {
		return nil, r.Current[0].Revision, nil
	}
	return &r.Current[0], 0, nil
}

// outcomeUnknown reports whether a write may have taken effect although it failed:
// its answer was lost, or that of an earlier try was.
func outcomeUnknown(err error, attempt int) bool {
	return errorx.IsOfType(err, fail.Unknown) || (attempt > 1 && errorx.IsOfType(err, fail.Unavailable))
}

func writtenBy(r *table.Row, writeID string) bool {
	v := new(configuration.ResourceRow)
	return json.Unmarshal(r.Value, v) == nil && v.WriteID == writeID
}
