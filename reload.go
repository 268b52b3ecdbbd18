package linetiller

import (
	"reflect"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/settings"
)

// Reload applies new settings while the box runs, or what was wrong with them.
// The budget of tries is in force at once; a change of anything else takes a
// restart, and is logged as waiting for one.
func (b *Box) Reload(s *settings.Settings, err error) {
	if err != nil {
		event.ReloadFailed.Log(b.log, "error", err.Error())
		return
	}
	b.relay.SetRetryBudget(s.Budget.Ratio, s.Budget.Extra, s.Budget.Window.Duration)
	rest, old := *s, *b.settings
	rest.Budget, old.Budget = settings.RetryBudget{}, settings.RetryBudget{}
	event.Reloaded.Log(b.log, "restart_needed", !reflect.DeepEqual(rest, old))
}
