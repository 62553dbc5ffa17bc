package main

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestDeadlineIsATimeOrADuration(t *testing.T) {
	now := time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)
	later, err := parseDeadline("45m", now)
	must.NoError(t, err)
	must.Eq(t, now.Add(45*time.Minute), later)
	later, err = parseDeadline("2026-12-03T18:00:00Z", now)
	must.NoError(t, err)
	must.Eq(t, 18, later.Hour())
	_, err = parseDeadline("tonight", now)
	must.ErrorContains(t, err, "tonight")
}
