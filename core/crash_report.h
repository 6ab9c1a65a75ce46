// Logs a last line when the process crashes. Without this line the log just ends, and a crash can't
// be told from a power loss.
#pragma once

namespace turmericshift {

// Installs handlers for the fatal signals (SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT). A handler
// writes a JSON line with the event `crashed` to standard output, with the signal and the call
// stack as addresses within the program (for `addr2line -e turmericshift ADDRESS`), then lets the
// signal end the process. After a stack overflow, or if standard output is a full pipe, nothing is
// written.
void InstallCrashReport();

}  // namespace turmericshift
