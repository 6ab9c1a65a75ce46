#include "core/crash_report.h"

#include <execinfo.h>
#include <link.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstring>

namespace turmericshift {
namespace {

constexpr int kMostFrames = 32;
constexpr size_t kLineBytes = 1024;
// What one more frame and the end of the line take at most.
constexpr int kFrameBytes = 40;
constexpr std::array<int, 5> kSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

// Where the program was loaded; frames are told relative to it.
uintptr_t program_base = 0;

int TakeFirst(dl_phdr_info* info, size_t /*size*/, void* base) {
  *static_cast<uintptr_t*>(base) = info->dlpi_addr;
  return 1;
}

void Report(int signal) {
  std::array<void*, kMostFrames> frames{};
  const int count = backtrace(frames.data(), kMostFrames);
  std::array<char, kLineBytes> line{};
  int used = snprintf(line.data(), line.size(),
                      R"({"event":"crashed","level":"error","signal":%d,"frames":[)", signal);
  for (int i = 0; i < count && used < static_cast<int>(kLineBytes) - kFrameBytes; ++i) {
    const uintptr_t address = reinterpret_cast<uintptr_t>(frames[static_cast<size_t>(i)]);
    used += snprintf(line.data() + used, line.size() - static_cast<size_t>(used), "%s\"0x%zx\"",
                     i == 0 ? "" : ",", static_cast<size_t>(address - program_base));
  }
  used += snprintf(line.data() + used, line.size() - static_cast<size_t>(used), "]}\n");
  // Nothing is left to do about a line that can't be written.
  const ssize_t written = write(STDOUT_FILENO, line.data(), static_cast<size_t>(used));
  static_cast<void>(written);
  raise(signal);
}

}  // namespace

void InstallCrashReport() {
  dl_iterate_phdr(&TakeFirst, &program_base);
  // The first call loads a library, which must not happen in a handler.
  std::array<void*, 1> frame{};
  backtrace(frame.data(), 1);
  for (const int each : kSignals) {
    struct sigaction action {};
    action.sa_handler = &Report;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    sigaction(each, &action, nullptr);
  }
}

}  // namespace turmericshift
