#include "tests/stand_ins/held_thread.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>

namespace turmericshift {
namespace {

int held[2] = {};
int release[2] = {};

void Hold(int /*signal*/) {
  const int error = errno;
  char byte = 0;
  if (write(held[1], "", 1) == 1 && read(release[0], &byte, 1) == 1) {
    static_cast<void>(write(held[1], "", 1) == 1);
  }
  errno = error;
}

}  // namespace

HeldThread::HeldThread(pthread_t thread) {
  EXPECT_EQ(pipe(held), 0);
  EXPECT_EQ(pipe(release), 0);
  struct sigaction action {};
  action.sa_handler = &Hold;
  EXPECT_EQ(sigaction(SIGUSR1, &action, &previous_), 0);
  EXPECT_EQ(pthread_kill(thread, SIGUSR1), 0);
  char byte = 0;
  EXPECT_EQ(read(held[0], &byte, 1), 1);
}

HeldThread::~HeldThread() {
  EXPECT_EQ(write(release[1], "", 1), 1);
  char byte = 0;
  EXPECT_EQ(read(held[0], &byte, 1), 1);
  sigaction(SIGUSR1, &previous_, nullptr);
  for (const int fd : {held[0], held[1], release[0], release[1]}) close(fd);
}

}  // namespace turmericshift
