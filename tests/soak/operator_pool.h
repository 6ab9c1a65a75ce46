// Runs entries and agents of one environment as processes, and provides addresses and files that
// operators need.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "modules/stand_ins/log_server.h"
#include "modules/stand_ins/memory_log.h"
#include "tests/soak/operator_soak.h"
#include "tests/soak/soak_process.h"
#include "tests/stand_ins/tcp_relay.h"

namespace turmericshift::soak {

inline constexpr size_t kEntryCount = 3;

class OperatorPool {
 public:
  struct Entry {
    std::unique_ptr<TcpRelay> operators;
    std::unique_ptr<TcpRelay> sessions;
    std::unique_ptr<SoakProcess> process;
  };

  // `on_unexpected_end` is called with the name of a process that ends unexpectedly.
  OperatorPool(const OperatorSoakOptions& options,
               std::function<void(const std::string&)> on_unexpected_end);

  std::vector<std::unique_ptr<Entry>>& entries() { return entries_; }
  // Whether the entry answers operators. Once a document is `published`, it must also be ready.
  bool Serves(size_t entry, bool published) const;
  // "IP:port" at which operators reach the entry.
  std::string AddressOf(size_t entry) const;
  std::string token_file() const { return options_.folder + "/operator"; }
  std::string document() const { return options_.folder + "/environment.ini"; }

 private:
  void WriteFiles() const;
  void AddEntry(size_t number);
  void AddAgent(size_t number);
  std::vector<std::string> CommandFor(const std::string& role, const std::string& name,
                                      const std::string& settings) const;

  const OperatorSoakOptions options_;
  const std::function<void(const std::string&)> on_unexpected_end_;
  MemoryLog log_;
  LogServer log_server_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<SoakProcess>> agents_;
};

}  // namespace turmericshift::soak
