#include "core/crash_report.h"

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstring>

namespace turmericshift {
namespace {

constexpr int kMaxFrames = 32;
constexpr size_t kLineBytes = 1024;
// Upper bound for the bytes of one more frame and the end of the line.
constexpr int kFrameBytes = 40;
constexpr std::array<int, 5> kSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

// Load address of the program; frames are reported relative to this address.
uintptr_t program_base = 0;

int SaveFirstBase(dl_phdr_info* info, size_t /*size*/, void* base) {
  *static_cast<uintptr_t*>(base) = info->dlpi_addr;
  return 1;
}

void Report(int signal) {
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), kMaxFrames);
  std::array<char, kLineBytes> line{};
  int used = snprintf(line.data(), line.size(),
                      R"({"event":"crashed","level":"error","signal":%d,"frames":[)", signal);
  for (int i = 0; i < count && used < static_cast<int>(kLineBytes) - kFrameBytes; ++i) {
    const uintptr_t address = reinterpret_cast<uintptr_t>(frames[static_cast<size_t>(i)]);
    used += snprintf(line.data() + used, line.size() - static_cast<size_t>(used), "%s\"0x%zx\"",
                     i == 0 ? "" : ",", static_cast<size_t>(address - program_base));
  }
  used += snprintf(line.data() + used, line.size() - static_cast<size_t>(used), "]}\n");
  // A write to a full pipe would block, and the process would go on without the crashed thread.
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&output, 1, 0) == 1) {
    // A failed write is ignored: there is no other place to report the crash.
    const ssize_t written = write(STDOUT_FILENO, line.data(), static_cast<size_t>(used));
    static_cast<void>(written);
  }
  raise(signal);
}

}  // namespace

void InstallCrashReport() {
  dl_iterate_phdr(&SaveFirstBase, &program_base);
  // The first call of backtrace loads a library, which is not safe in a signal handler.
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
