package main

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/go-logr/logr"

	"coltsfootloft/core/conf"
)

const (
	// settingsWait is how long a settings file is read again that is missing, empty or not
	// valid: the platform may be writing it.
	settingsWait = 5 * time.Second
	// settingsRetryDelay is the pause between two attempts.
	settingsRetryDelay = 50 * time.Millisecond
	// settingsPollInterval is the time between two checks of the file, for changes without a
	// signal.
	settingsPollInterval = 5 * time.Second
)

// settingsFile is the file with the settings of an entry host.
type settingsFile struct {
	path string
	seen stamp
}

// stamp identifies one version of a file.
type stamp struct{ modified, size int64 }

func (f *settingsFile) stamp() stamp {
	i, err := os.Stat(f.path)
	if err != nil {
		return stamp{}
	}
	return stamp{
		modified: i.ModTime().UnixNano(),
		size:     i.Size(),
	}
}

// load reads the file. While it is not valid, load reads it again for settingsWait, and then
// returns the error. It returns early when ctx ends.
func (f *settingsFile) load(ctx context.Context, log logr.Logger) (conf.EntrySettings, error) {
	for start, logged := time.Now(), false; ; {
		f.seen = f.stamp()
		s, err := conf.LoadEntry(f.path)
		if err == nil || f.path == "" || time.Since(start) >= settingsWait {
			return s, err
		}
		if !logged {
			log.Error(err, "settings file not valid; reading it again", "for", settingsWait.String())
			logged = true
		}
		select {
		case <-ctx.Done():
			return s, err
		case <-time.After(settingsRetryDelay):
		}
	}
}

// follow reads the file again after each signal, and when it has changed without one, until
// ctx ends.
func (f *settingsFile) follow(ctx context.Context, hangup <-chan os.Signal, running conf.EntrySettings, log logr.Logger) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			f.reload(ctx, running, log.WithValues("signal", true))
		case <-t.C:
			if f.stamp() != f.seen {
				f.reload(ctx, running, log.WithValues("signal", false))
			}
		}
	}
}

// reload reads the settings file again and logs whether it differs from the running
// settings. The host keeps running with the old ones; new ones, such as addresses,
// take effect at the next start.
func (f *settingsFile) reload(ctx context.Context, running conf.EntrySettings, log logr.Logger) {
	loaded, err := f.load(ctx, log)
	if err != nil {
		log.Error(err, "settings file not reloaded; keeping the running settings")
		return
	}
	log.Info("settings file read again", "changed", !reflect.DeepEqual(loaded, running))
}
