// Simulates a machine that can't start more threads.
#pragma once

namespace turmericshift {

// While an object lives, `starts` more threads of this process can start; later starts fail as they
// do at the system's limit. One object at a time.
class ThreadLimit {
 public:
  explicit ThreadLimit(int starts);
  ~ThreadLimit();
  ThreadLimit(const ThreadLimit&) = delete;
  ThreadLimit& operator=(const ThreadLimit&) = delete;
};

}  // namespace turmericshift
