#include "servers/entry/peer_view.h"

#include <algorithm>

namespace turmericshift {
namespace {

// More entries than any environment has; keeps a faulty agent from exhausting this process's
// memory.
constexpr size_t kMaxPeers = 256;

}  // namespace

void PeerView::RecordHeartbeat(const AgentHeartbeat& beat, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  highest_version_ = std::max(highest_version_, beat.config_version);
  for (const ObservedEntry& observed : beat.observed) {
    const std::string& process = observed.entry.process;
    if (peers_.size() >= kMaxPeers && peers_.count(process) == 0) continue;
    PeerState& peer = peers_[process];
    const Time seen_at = now - observed.age;
    if (seen_at >= peer.last_seen) peer.entry = observed.entry;
    peer.last_seen = std::max(peer.last_seen, seen_at);
    peer.config_version = std::max(peer.config_version, observed.config_version);
  }
}

std::vector<PeerState> PeerView::RecentlySeen(Time now, Duration max_age) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<PeerState> result;
  for (const auto& [process, peer] : peers_) {
    if (now - peer.last_seen <= max_age) result.push_back(peer);
  }
  return result;
}

int64_t PeerView::highest_version() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return highest_version_;
}

}  // namespace turmericshift
