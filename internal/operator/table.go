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

// commit writes v to a row on the condition that the row still has the given revision, 0 for a row
// that does not exist. It returns the new revision, or the current row if another write came first.
//
// If the response is lost, commit sends the same write again. Should the earlier one have taken
// effect, the condition fails, and the write ID in the row shows whose write it was.
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
		case attempt == maxCommitAttempts || !outcomeUnknown(err, attempt):
			return nil, 0, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, err
		case <-time.After(commitBackoff << attempt):
		}
	}
}

// readRow reads the row of a resource, and the resource in it. The resource is nil if it does not
// exist or is deleted; a row that does not exist is returned with revision 0.
func (s *Server) readRow(ctx context.Context, k resource.Kind, name string) (*table.Row, *resource.Resource, error) {
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

// outcomeUnknown reports whether a write may have taken effect although the attempt failed. From
// the second attempt on this includes an unavailable store: the response to an earlier attempt was
// lost.
func outcomeUnknown(err error, attempt int) bool {
	return errorx.IsOfType(err, fail.Unknown) || (attempt > 1 && errorx.IsOfType(err, fail.Unavailable))
}

// resolveConflict returns the result of a transaction whose condition failed. If the row carries
// writeID, an earlier attempt of the same write took effect and its revision is returned; otherwise
// the row of the other write is.
func resolveConflict(r *table.Result, writeID string) (*table.Row, int64, error) {
	if len(r.Current) != 1 {
		return nil, 0, errors.New("the platform rejected a transaction without returning the conflicting row")
	}
	if writtenBy(&r.Current[0], writeID) {
		return nil, r.Current[0].Revision, nil
	}
	return &r.Current[0], 0, nil
}

// writtenBy reports whether the row was written by the write of the given ID.
func writtenBy(r *table.Row, writeID string) bool {
	v := new(configuration.ResourceRow)
	return json.Unmarshal(r.Value, v) == nil && v.WriteID == writeID
}
