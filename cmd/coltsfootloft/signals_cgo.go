//go:build cgo

package main

/*
#include <signal.h>
#include <stddef.h>

// The Go runtime needs some milliseconds until main can ask for signals, and by default
// SIGHUP ends the process until then. The runtime leaves SIGHUP ignored if it finds it
// so. A SIGHUP before main says nothing new: the settings are read after that. The other
// signals would end the process only until the runtime has installed its handlers.
__attribute__((constructor)) static void ignore_early_signals(void)
{
	static const int early[] = { SIGHUP, SIGUSR1, SIGUSR2, SIGALRM };
	for (size_t i = 0; i < sizeof early / sizeof early[0]; i++)
		signal(early[i], SIG_IGN);
}
*/
import "C"
