package intake

import (
	"time"

	"github.com/charmbracelet/log"
)

// logInterval limits the log to one line of each kind in it.
const logInterval = time.Second

// reports writes a line of each kind at most once in logInterval. It is not safe for concurrent use.
type reports struct {
	// log is nil for no lines.
	log *log.Logger
	at  map[string]time.Time
}

func newReports(logger *log.Logger) reports { return reports{log: logger, at: map[string]time.Time{}} }

// warn writes a line, whose kind is its message. Nothing waits for the log.
func (r reports) warn(message string, fields ...any) {
	now := time.Now()
	if r.log == nil || now.Sub(r.at[message]) < logInterval {
		return
	}
	r.at[message] = now
	r.log.Warn(message, fields...)
}
