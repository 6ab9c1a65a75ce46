// A last line for a process that crashes. Without it a crash shows as a log that breaks off, and
// nobody can tell it from a loss of power.
#pragma once

namespace turmericshift {

// From now on a fatal signal (invalid memory, abort, arithmetic) writes one JSON line `crashed` to
// standard output, with the signal and the call stack as addresses within the program
// (`addr2line -e turmericshift ADDRESS`), and then ends the process as it would have ended. A
// thread that has run out of stack writes nothing.
void InstallCrashReport();

}  // namespace turmericshift
