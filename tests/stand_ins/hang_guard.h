// Ends a test program whose test waits forever.
#pragma once

#include <functional>

namespace turmericshift {

// Runs `body` on a thread of its own. If it does not return within a minute, reports a failure and
// aborts the program, because a thread that waits forever can't be ended by itself. The limit only
// bounds a failing test; no result depends on how long `body` takes.
void RunGuarded(const std::function<void()>& body);

}  // namespace turmericshift
