package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"agateswitch/settings"

	"github.com/charmbracelet/log"
)

// reloadInterval is the time between two looks at the settings file, which may change without a
// signal. Reading it takes some 20 µs.
const reloadInterval = 5 * time.Second

// reloader puts changed settings in force: the log level and what apply takes. Addresses and the
// host's place need a new process.
type reloader struct {
	path    string
	content []byte
	inForce settings.Gateway
	apply   func(settings.Gateway)
	log     *log.Logger
}

// hangup is the signal that asks for a reload.
const hangup = syscall.SIGHUP

// start looks for changes at each hangup and from time to time, until ctx ends.
func (r *reloader) start(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, hangup)
	go func() {
		defer signal.Stop(hangups)
		r.run(ctx, hangups)
	}()
}

func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
			r.log.Info("reload asked for", "file", r.path)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.reload()
	}
}

func (r *reloader) reload() {
	content, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings not read, the old ones stay in force", "file", r.path, "err", err)
		return
	}
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	changed, problems := settings.ParseGateway(r.path, content)
	for _, problem := range problems {
		r.log.Warn("problem in the settings", "problem", problem.String())
	}
	if len(problems) > 0 {
		r.log.Warn("the old settings stay in force", "problems", len(problems))
		return
	}
	if changed.Listen != r.inForce.Listen || changed.Host != r.inForce.Host || changed.Store != r.inForce.Store {
		r.log.Warn("changed addresses need a new process", "file", r.path)
	}
	if level, err := log.ParseLevel(changed.Log.Level); err == nil {
		r.log.SetLevel(level)
	}
	r.inForce = changed
	r.apply(changed)
	r.log.Info("settings in force", "file", r.path)
}
