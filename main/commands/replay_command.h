// `turmericshift replay`: replays traces through the decision code and checks their expectations.
#pragma once

#include "main/commands.h"

namespace turmericshift {

// `replay FILE… [--policy NAME] [--record OUT] [--json]`. Returns kFailed if an expectation does
// not hold. Throws Error(kInvalidInput) with the line for an invalid trace.
ExitCode RunReplay(const Args& args);

}  // namespace turmericshift
