#include "servers/state/config_fold.h"

#include "core/digest.h"
#include "core/error.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxHistory = 64;

}  // namespace

FoldVerdict ConfigFold::Apply(const Record& record, Sequence /*sequence*/) {
  const auto* published = std::get_if<ConfigPublished>(&record);
  if (published == nullptr) return {false, "not a config record"};
  const std::lock_guard<std::mutex> lock(mutex_);
  const int64_t newest = history_.empty() ? 0 : history_.back()->version;
  if (published->parent != newest || published->version != newest + 1) {
    return {false, "version " + std::to_string(newest) + " came first"};
  }
  if (Digest(published->text) != published->digest) return {false, "the digest does not match"};
  auto version = std::make_shared<ConfigVersion>();
  try {
    version->environment = std::make_shared<const Environment>(
        ParseEnvironment("version " + std::to_string(published->version), published->text));
  } catch (const Error& error) {
    return {false, error.what()};
  }
  version->version = published->version;
  version->digest = published->digest;
  version->author = published->author;
  version->wall_ms = published->wall_ms;
  version->text = published->text;
  history_.push_back(version);
  if (history_.size() > kMaxHistory) history_.erase(history_.begin());
  changed_.notify_all();
  return {};
}

std::shared_ptr<const ConfigVersion> ConfigFold::current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return history_.empty() ? nullptr : history_.back();
}

std::vector<std::shared_ptr<const ConfigVersion>> ConfigFold::history() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return history_;
}

bool ConfigFold::WaitFor(int64_t version, Duration limit) const {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(
      lock, limit, [&] { return !history_.empty() && history_.back()->version >= version; });
}

}  // namespace turmericshift
