package cwsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcommon"
	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwplatform"
)

// ListFollower watches one list of the platform and posts an event with each version of it
// to control.
type ListFollower[T any] struct {
	*cwcommon.Common
	control  *cwcontrol.Control
	reader   *cwplatform.Reader
	key      string
	newEvent func([]T) cwcontrol.Event
	backoff  backoff
	revision uint64
}

// NewListFollower returns a follower of the list with the platform key. newEvent returns
// the control event for a version of the list.
func NewListFollower[T any](common *cwcommon.Common, control *cwcontrol.Control, reader *cwplatform.Reader, key string, newEvent func([]T) cwcontrol.Event) *ListFollower[T] {
	return &ListFollower[T]{Common: common, control: control, reader: reader, key: key, newEvent: newEvent, backoff: newBackoff()}
}

// Run watches the list until ctx ends.
func (f *ListFollower[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.Step(ctx)
		if err == nil || errors.Is(err, cwplatform.ErrUnchanged) {
			f.backoff.reset()
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		f.Log.Warn("instance list not read", zap.Error(err))
		f.Metrics.Counter("platform_failures").Inc(1)
		cwcommon.Sleep(ctx, f.backoff.pause(err))
	}
	return nil
}

// Step waits for the next version of the list and posts it. The first call posts the
// current list without waiting. Step returns cwplatform.ErrUnchanged if there is no new
// version within the wait of a watch.
func (f *ListFollower[T]) Step(ctx context.Context) error {
	wait := f.Settings.WatchWait
	if f.revision == 0 {
		wait = 0
	}
	value, err := watchValue(ctx, f.Common, f.reader, f.key, f.revision, wait)
	if err != nil {
		return err
	}
	var list []T
	if err := json.Unmarshal(value.Data, &list); err != nil {
		return fmt.Errorf("decode %s from platform: %w", f.key, err)
	}
	f.revision = value.Revision
	f.control.Post(ctx, f.newEvent(list))
	return nil
}
