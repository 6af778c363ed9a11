// Package cmds implements the operators' commands: settings, keys, status,
// explanations and draining.
//
// Commands that read or change settings call the platform's store; commands about
// the fleet call the admin port of one host. Results are printed to [Tools.Out] and
// errors to [Tools.Err]. The exit code gives the outcome; see [ExitDone] and the
// constants after it.
package cmds
