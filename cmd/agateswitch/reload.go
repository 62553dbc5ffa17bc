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

// reloadInterval is the time between two reads of the settings file, which may change without a
// signal. A read takes about 20 µs.
const reloadInterval = 5 * time.Second

// reloader applies changes of the settings file to the log level and to the settings that apply
// handles. Changed addresses and a changed host, data centre or region need a restart.
type reloader struct {
	path    string
	content []byte
	inForce settings.Gateway
	apply   func(settings.Gateway)
	log     *log.Logger
}

// hangup is the signal that requests a reload.
const hangup = syscall.SIGHUP

// catchHangups receives the hangups of the process from now on, which would otherwise end it.
func catchHangups() (hangups chan os.Signal) {
	hangups = make(chan os.Signal, 1)
	signal.Notify(hangups, hangup)
	return hangups
}

// start reloads the settings file at each of the hangups and every reloadInterval, until ctx ends.
func (r *reloader) start(ctx context.Context, hangups chan os.Signal) {
	go func() {
		defer signal.Stop(hangups)
		r.run(ctx, hangups)
	}()
}

// run reloads the settings file at each hangup and each tick, until ctx ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
			r.log.Info("received SIGHUP; reading the settings file again", "file", r.path)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.reload()
	}
}

// reload applies the settings file if its content has changed and is valid.
func (r *reloader) reload() {
	content, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("failed to read the settings file; the settings in force are kept", "file", r.path, "err", err)
		return
	}
	if bytes.Equal(content, r.content) {
		return
	}
	r.content = content
	changed, problems := settings.ParseGateway(r.path, content)
	for _, problem := range problems {
		r.log.Warn("changed settings file has a problem", "problem", problem.String())
	}
	if invalid := settings.Invalid(problems); len(invalid) > 0 {
		r.log.Warn("changed settings file is invalid; the settings in force are kept", "problems", len(invalid))
		return
	}
	if changed.Listen != r.inForce.Listen || changed.Host != r.inForce.Host || changed.Store != r.inForce.Store {
		r.log.Warn("changed listen addresses, host or store address take effect only after a restart", "file", r.path)
	}
	if level, err := log.ParseLevel(changed.Log.Level); err == nil {
		r.log.SetLevel(level)
	}
	r.inForce = changed
	r.apply(changed)
	r.log.Info("settings in force", "file", r.path)
}
