// Package cmds holds the commands for operators: settings, keys, status,
// explanations and draining.
//
// Commands that read or change settings speak to the platform's store; those that
// ask about the fleet speak to the admin port of one host. What they tell goes to
// [Tools.Out], what goes wrong to [Tools.Err], and the exit code says how it
// ended.
package cmds
