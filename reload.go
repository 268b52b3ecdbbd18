package linetiller

import (
	"reflect"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/settings"
)

// Reload applies new settings while the box runs; err is the error that occurred while reading
// them, if any, and is logged. Only changes of the retry budget and of the source of connections to
// upstreams take effect at once. Whether other changes need a restart is logged.
func (b *Box) Reload(s *settings.Settings, err error) {
	if err != nil {
		event.SettingsReloadFailed.Log(b.log, "error", err.Error())
		return
	}
	b.retryBudget.Configure(s.Budget.Ratio, s.Budget.Extra, s.Budget.Window.Duration, time.Now())
	b.upstreamSource.set(s.UpstreamSource)
	rest, old := *s, *b.settings
	rest.Budget, old.Budget = settings.RetryBudget{}, settings.RetryBudget{}
	rest.UpstreamSource, old.UpstreamSource = "", ""
	event.SettingsReloaded.Log(b.log, "restart_needed", !reflect.DeepEqual(rest, old))
}
