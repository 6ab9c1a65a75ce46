// A complete pool under soak: entries and agents are processes, store and workers run in this
// process, and each path between them has a relay.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "modules/stand_ins/memory_keyed_log.h"
#include "platform/soak/fake_store_server.h"
#include "platform/soak/fake_worker_server.h"
#include "tests/soak/soak_history.h"
#include "tests/soak/soak_process.h"
#include "tests/stand_ins/tcp_relay.h"

namespace turmericshift::soak {

struct SoakSystemOptions {
  // The program under soak.
  std::string binary;
  // Folder for settings and logs.
  std::string folder;
  // Loopback address of the processes, different for each soak: a reused port must not connect a
  // process to the pool of another soak.
  std::string ip = "127.0.0.1";
  int entries = 3;
  int workers = 6;
};

// An entry with the relays of its connections.
struct SoakEntry {
  std::string name;
  std::string zone;
  std::unique_ptr<TcpRelay> callers;
  std::unique_ptr<TcpRelay> sessions;
  std::unique_ptr<TcpRelay> store;
  // Declared last, so that the process ends before its relays.
  std::unique_ptr<SoakProcess> process;
};

// A worker and the agent on the same VM.
struct SoakWorkerNode {
  std::string name;
  std::string zone;
  std::unique_ptr<platform::FakeWorkerServer> worker;
  std::unique_ptr<TcpRelay> worker_relay;
  std::unique_ptr<TcpRelay> store;
  std::unique_ptr<pool::WorkerHooks> incarnation;
  int incarnations = 0;
  std::unique_ptr<SoakProcess> process;
};

class SoakSystem {
 public:
  // `history` must outlive the system.
  SoakSystem(const SoakSystemOptions& options, SoakHistory* history);
  ~SoakSystem();
  SoakSystem(const SoakSystem&) = delete;
  SoakSystem& operator=(const SoakSystem&) = delete;

  const std::vector<std::unique_ptr<SoakEntry>>& entries() const { return entries_; }
  const std::vector<std::unique_ptr<SoakWorkerNode>>& worker_nodes() const { return worker_nodes_; }
  // The entry that plans according to the store; null if there is none.
  SoakEntry* PlanningEntry();
  // Cuts the zone's agents off from the store and all entries, or ends this.
  void CutAgents(const std::string& zone, bool cut);
  platform::FakeStoreServer& store() { return store_server_; }
  static const std::vector<std::string>& zones();

  // The worker dies with all its runs and is unreachable until StartWorker.
  void CrashWorker(SoakWorkerNode* worker_node);
  void StartWorker(SoakWorkerNode* worker_node, bool same_id);
  void SetZone(const std::string& zone, bool out);
  // Publishes the same document under the next version.
  void PublishDocument();
  // Makes the store drop its history; the newest record of each key stays.
  void DropHistory();
  // Ends all current faults.
  void Heal();

 private:
  void AddEntry(int number);
  void AddWorkerNode(int number);
  std::vector<std::string> CommandFor(const std::string& role, const std::string& name,
                                      const std::string& settings) const;
  void ProcessEndedByItself(const std::string& name);
  void Append(const KeyedRecord& record);

  const SoakSystemOptions options_;
  SoakHistory* const history_;
  MemoryKeyedLog log_;
  pool::GangTracker gang_tracker_;
  platform::FakeStoreServer store_server_;
  int64_t version_ = 0;
  // Ended incarnations, kept because their workers may still be in a call.
  std::vector<std::unique_ptr<pool::WorkerHooks>> past_incarnations_;
  std::vector<std::unique_ptr<SoakWorkerNode>> worker_nodes_;
  std::vector<std::unique_ptr<SoakEntry>> entries_;
};

}  // namespace turmericshift::soak
