// `turmericshift replay`: runs traces against the decision code and checks their stated outcomes.
#pragma once

#include "main/commands.h"

namespace turmericshift {

// `replay FILE… [--policy NAME] [--record OUT] [--json]`. Returns kFailed when an expectation does
// not hold; a bad trace throws Error(kInvalidInput) with its line.
ExitCode RunReplay(const Words& words);

}  // namespace turmericshift
