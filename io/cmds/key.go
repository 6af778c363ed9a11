package cmds

import (
	"github.com/google/subcommands"
)

// key returns the commands for keys.
func (t *Tools) key() subcommands.Command {
	return &commandGroup{
		tools:    t,
		name:     "key",
		synopsis: "issue, withdraw and list the keys that callers present",
		commands: func() []subcommands.Command {
			return []subcommands.Command{
				&issue{storeFlags: storeFlags{tools: t}},
				&withdraw{storeFlags: storeFlags{tools: t}},
				&list{storeFlags: storeFlags{tools: t}},
			}
		},
	}
}

// keyPath returns the settings path of a key.
func keyPath(team, name string) string { return "teams/" + team + "/keys/" + name }
