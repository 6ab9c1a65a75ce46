// Stand-ins for the cases of the third review: the platform's store, workers and clients, as the
// users' pages describe them, and the start of the project's own programs as separate processes.
// All addresses are loopback addresses; all ports are free ones.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline Clock::time_point& Begin() {
  static Clock::time_point begin = Clock::now();
  return begin;
}
// Milliseconds since the begin of the case.
inline int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - Begin()).count();
}
inline void SleepMs(int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }
inline void SleepUntil(int64_t ms) {
  if (ms > NowMs()) SleepMs(ms - NowMs());
}

// What was sent, answered and run; written to record.txt.
class Record {
 public:
  void Open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(NowMs()) / 1000);
    file_ << time << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};
inline Record& Log() {
  static Record record;
  return record;
}
template <typename... Parts>
void Say(const Parts&... parts) {
  std::ostringstream out;
  (out << ... << parts);
  Log().Line(out.str());
}

// ---------------------------------------------------------------- HTTP

struct Request {
  std::string method, path, body;
  std::map<std::string, std::string> query, headers;
  std::string arg(const std::string& name) const {
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
  }
};
struct Reply {
  int status = 200;
  std::string body = "{}";
  std::string type = "application/json";
  // The connection ends without an answer.
  bool drop = false;
};
using Handler = std::function<Reply(const Request&)>;

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t sent = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    at += static_cast<size_t>(sent);
  }
  return true;
}

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(tolower(c));
  return text;
}

// Reads one HTTP message; `buffer` keeps what was read beyond it. The deadline is on NowMs().
inline bool ReadMessage(int fd, std::string* buffer, std::string* first,
                        std::map<std::string, std::string>* headers, std::string* body,
                        int64_t deadline_ms) {
  const auto fill = [&] {
    pollfd wait{fd, POLLIN, 0};
    const int64_t left = deadline_ms - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(std::min<int64_t>(left, 1000000))) <= 0) {
      return false;
    }
    char chunk[65536];
    const ssize_t got = recv(fd, chunk, sizeof(chunk), 0);
    if (got <= 0) return false;
    buffer->append(chunk, static_cast<size_t>(got));
    return true;
  };
  size_t end;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) return false;
  }
  std::istringstream head(buffer->substr(0, end));
  std::getline(head, *first);
  if (!first->empty() && first->back() == '\r') first->pop_back();
  headers->clear();
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    (*headers)[Lower(line.substr(0, colon))] = line.substr(value);
  }
  const auto length = headers->find("content-length");
  const size_t size = length == headers->end() ? 0 : std::stoul(length->second);
  while (buffer->size() < end + 4 + size) {
    if (!fill()) return false;
  }
  *body = buffer->substr(end + 4, size);
  buffer->erase(0, end + 4 + size);
  return true;
}

inline int ListenOn(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 256) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}
inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
// A free port below those that the system gives to outgoing connections.
inline int FreePort() {
  static std::mt19937 random(std::random_device{}());
  while (true) {
    const int port = 12000 + static_cast<int>(random() % 18000);
    const int fd = ListenOn(port);
    if (fd < 0) continue;
    close(fd);
    return port;
  }
}

// Serves until the process ends.
class HttpServer {
 public:
  explicit HttpServer(Handler handler) : handler_(std::move(handler)), fd_(ListenOn(0)) {
    port_ = PortOf(fd_);
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return port_; }
  // While shut, connections are refused with a reset, and open ones are ended.
  void Shut(bool shut) {
    const std::lock_guard<std::mutex> lock(mutex_);
    shut_ = shut;
    if (!shut) return;
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (shut_) {
          const linger reset{1, 0};
          setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
          close(fd);
          continue;
        }
        open_.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    std::string buffer, first;
    Request request;
    while (ReadMessage(fd, &buffer, &first, &request.headers, &request.body, NowMs() + 600000)) {
      std::istringstream words(first);
      std::string target;
      words >> request.method >> target;
      const size_t mark = target.find('?');
      request.path = Unescape(target.substr(0, mark));
      request.query.clear();
      if (mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
          const size_t equals = pair.find('=');
          request.query[pair.substr(0, equals)] =
              equals == std::string::npos ? "" : Unescape(pair.substr(equals + 1));
        }
      }
      const Reply reply = handler_(request);
      if (reply.drop) break;
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(reply.status) + " X\r\nContent-Type: " +
                           reply.type + "\r\nContent-Length: " + std::to_string(reply.body.size()) +
                           "\r\n\r\n" + reply.body)) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(fd);
    close(fd);
  }

  const Handler handler_;
  const int fd_;
  int port_ = 0;
  std::mutex mutex_;
  bool shut_ = false;
  std::set<int> open_;
};

struct Answer {
  int status = 0;  // 0: no answer
  std::string body;
};

// One call on a connection of its own.
inline Answer Call(int port, const std::string& method, const std::string& target,
                   const std::vector<std::string>& headers, const std::string& body,
                   int64_t timeout_ms) {
  Answer answer;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    std::string request = method + " " + target + " HTTP/1.1\r\n";
    bool has_host = false;
    for (const std::string& header : headers) {
      request += header + "\r\n";
      has_host = has_host || header.rfind("Host:", 0) == 0;
    }
    if (!has_host) request += "Host: localhost\r\n";
    if (!body.empty()) request += "Content-Type: application/json\r\n";
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer, first;
    std::map<std::string, std::string> reply_headers;
    if (SendAll(fd, request) &&
        ReadMessage(fd, &buffer, &first, &reply_headers, &answer.body, NowMs() + timeout_ms)) {
      answer.status = std::atoi(first.c_str() + std::min<size_t>(first.size(), 9));
    }
  }
  close(fd);
  return answer;
}

// ---------------------------------------------------------------- the platform's store

inline std::string Base64(const std::string& in) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t value = 0;
    for (size_t j = 0; j < 3; ++j) {
      value = value << 8 | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j <= in.size() ? digits[value >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return out;
}
inline std::string BigEndian(uint64_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i) & 255U);
  return out;
}

// A process's way to the store; faults concern this process only.
struct StoreDoor {
  std::unique_ptr<HttpServer> server;
  std::atomic<bool> busy{false};  // 503
  int port() const { return server->port(); }
};

class Store {
 public:
  std::shared_ptr<StoreDoor> Door() {
    auto door = std::make_shared<StoreDoor>();
    StoreDoor* raw = door.get();
    door->server = std::make_unique<HttpServer>([this, raw](const Request& request) {
      if (raw->busy.load()) return Reply{503, "{}", "application/json", false};
      return Handle(request, raw);
    });
    return door;
  }
  // Each answer takes this long.
  std::atomic<int> delay_ms{4};

  // Writes a record as the operator does.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    changed_.notify_all();
  }

 private:
  struct Producer {
    int64_t epoch = -1, seq = 0;
    std::map<int64_t, std::string> answers;
  };
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, int64_t>> newest;
    std::map<std::string, Producer> producers;
  };

  void Append(const std::string& name, const std::string& record) {
    Topic& topic = topics_[name];
    const int64_t offset = static_cast<int64_t>(topic.records.size());
    topic.records.push_back(record);
    if (name.rfind("keyed.", 0) != 0 || record.empty()) return;
    const size_t size = static_cast<unsigned char>(record[0]);
    if (record.size() < 1 + size) return;
    const std::string key = record.substr(1, size);
    if (record.size() == 1 + size) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = {record.substr(1 + size), offset};
    }
  }

  static Reply Refused(const Json& body, int status) {
    return {status, body.dump(), "application/json", false};
  }

  Reply Handle(const Request& request, StoreDoor* door) {
    SleepMs(delay_ms.load());
    if (request.path == "/turmericshift/log-append") return HandleAppend(request);
    if (request.path == "/turmericshift/log-read") return HandleRead(request, door);
    if (request.path == "/turmericshift/log-newest") return HandleNewest(request);
    return {404, "{}", "application/json", false};
  }

  Reply HandleAppend(const Request& request) {
    std::vector<std::string> records;
    for (size_t at = 0; at + 4 <= request.body.size();) {
      uint32_t size = 0;
      for (size_t i = 0; i < 4; ++i) {
        size = size << 8 | static_cast<unsigned char>(request.body[at + i]);
      }
      records.push_back(request.body.substr(at + 4, size));
      at += 4 + size;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string name = request.arg("topic");
    Topic& topic = topics_[name];
    const int64_t end = static_cast<int64_t>(topic.records.size());
    Producer* producer = nullptr;
    int64_t epoch = 0, seq = 0;
    if (!request.arg("producer").empty()) {
      producer = &topic.producers[request.arg("producer")];
      epoch = std::stoll(request.arg("epoch"));
      seq = request.arg("seq").empty() ? 0 : std::stoll(request.arg("seq"));
      if (epoch < producer->epoch) return Refused({{"reason", "fenced"}}, 409);
      if (epoch == producer->epoch && !records.empty()) {
        const auto repeated = producer->answers.find(seq);
        if (repeated != producer->answers.end()) return {200, repeated->second};
        if (seq != producer->seq + 1) {
          return Refused({{"reason", "seq"}, {"expected", producer->seq + 1}}, 409);
        }
      }
    }
    if (!request.arg("asOf").empty() && std::stoll(request.arg("asOf")) != end) {
      return Refused({{"end", end}}, 412);
    }
    for (const std::string& record : records) Append(name, record);
    const std::string answer =
        Json({{"offset", end}, {"end", end + static_cast<int64_t>(records.size())}}).dump();
    if (producer != nullptr) {
      if (epoch > producer->epoch) producer->answers.clear();
      producer->epoch = epoch;
      if (!records.empty()) {
        producer->seq = seq;
        producer->answers[seq] = answer;
        if (producer->answers.size() > 5) producer->answers.erase(producer->answers.begin());
      }
    }
    changed_.notify_all();
    return {200, answer};
  }

  Reply HandleRead(const Request& request, StoreDoor* door) {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::string name = request.arg("topic");
    const size_t from = std::stoul(request.arg("from"));
    const int64_t wait = request.arg("waitMs").empty() ? 0 : std::stoll(request.arg("waitMs"));
    changed_.wait_for(lock, milliseconds(wait),
                      [&] { return topics_[name].records.size() > from || door->busy.load(); });
    if (door->busy.load()) return {503, "{}"};
    const Topic& topic = topics_[name];
    std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
    for (size_t at = from; at < topic.records.size() && body.size() < (size_t{1} << 20); ++at) {
      body += BigEndian(topic.records[at].size(), 4) + topic.records[at];
    }
    return {200, body, "application/octet-stream", false};
  }

  Reply HandleNewest(const Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Topic& topic = topics_[request.arg("topic")];
    Json items = Json::array();
    bool more = false;
    size_t bytes = 0;
    for (auto row = topic.newest.upper_bound(request.arg("after")); row != topic.newest.end();
         ++row) {
      if (items.size() == 500 || bytes > (size_t{1} << 20)) {
        more = true;
        break;
      }
      bytes += row->second.first.size();
      items.push_back({{"key", row->first},
                       {"value", Base64(row->second.first)},
                       {"offset", row->second.second}});
    }
    return {200, Json({{"items", items}, {"hasMore", more}, {"end", topic.records.size()}}).dump()};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
};

// ---------------------------------------------------------------- workers

struct Capacity {
  int64_t cpu = 64000, mem = 131072, gpu = 8;
};

// What a task does; looked up by its job's ID. The stand-ins know the jobs, as the tasks do.
struct TaskPlan {
  int64_t work_ms = 1000;
  Capacity need;
  bool lasting = false;
};
class Plans {
 public:
  void Set(const std::string& job, const TaskPlan& plan) {
    const std::lock_guard<std::mutex> lock(mutex_);
    plans_[job] = plan;
  }
  TaskPlan Of(const std::string& task) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = plans_.find(task.substr(0, task.find('.')));
    return found == plans_.end() ? TaskPlan() : found->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, TaskPlan> plans_;
};

struct Begun {
  std::string task, worker;
  int64_t run = 0, at_ms = 0, ended_ms = -1;
  std::string how;
};
// All runs that workers have begun.
class Runs {
 public:
  size_t Begin(const std::string& task, int64_t run, const std::string& worker) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({task, worker, run, NowMs(), -1, ""});
    return runs_.size() - 1;
  }
  void End(size_t index, const std::string& how) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[index].ended_ms = NowMs();
    runs_[index].how = how;
  }
  std::vector<Begun> OfJob(const std::string& job) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Begun> found;
    for (const Begun& each : runs_) {
      if (each.task.rfind(job + ".", 0) == 0) found.push_back(each);
    }
    return found;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Begun> runs_;
};

struct WorkerOptions {
  std::string id, zone, rack, service = "plans";
  Capacity capacity;
  int heartbeat_ms = 1500;
};

// One life of a worker. It guards its capacity.
class Worker {
 public:
  Worker(const WorkerOptions& options, const Plans* plans, Runs* runs)
      : options_(options),
        plans_(plans),
        runs_(runs),
        born_ms_(std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()),
        server_([this](const Request& request) { return Handle(request); }) {
    std::thread([this] { Tick(); }).detach();
    std::thread([this] { Beat(); }).detach();
  }
  int port() const { return server_.port(); }
  const std::string& id() const { return options_.id; }
  void SetAgentPort(int port) { agent_port_.store(port); }
  void SetDraining() { draining_.store(true); }
  // The worker is lost for good: everything that runs on it ends, and it answers nothing more.
  void Lose() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      lost_ = true;
      for (const auto& [key, run] : running_) runs_->End(run.index, "lost with its worker");
      running_.clear();
      changed_.notify_all();
    }
    server_.Shut(true);
    Say("worker ", options_.id, " is lost");
  }
  int64_t free_gpu() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return options_.capacity.gpu - Used().gpu;
  }

 private:
  struct Run {
    size_t index = 0;
    int64_t begun_ms = 0;
    TaskPlan plan;
  };
  using Key = std::pair<std::string, int64_t>;

  int64_t ClockMs() const { return NowMs() - clock_zero_ + 1000; }

  Capacity Used() const {
    Capacity used{0, 0, 0};
    for (const auto& [key, run] : running_) {
      used.cpu += run.plan.need.cpu;
      used.mem += run.plan.need.mem;
      used.gpu += run.plan.need.gpu;
    }
    return used;
  }

  void EndRun(const Key& key, const std::string& how) {
    const Run run = running_.at(key);
    running_.erase(key);
    newest_ended_[key.first] = std::max(newest_ended_[key.first], key.second);
    ended_.push_back({++ends_, key.first, key.second, how, ""});
    runs_->End(run.index, how);
    Say("worker ", options_.id, ": run ", key.second, " of ", key.first, " ended ", how);
    changed_.notify_all();
  }

  void EndDue() {
    std::vector<std::pair<Key, std::string>> due;
    for (const auto& [key, run] : running_) {
      if (ClockMs() > lease_ms_) {
        due.push_back({key, "lapsed"});
      } else if (!run.plan.lasting && NowMs() - run.begun_ms >= run.plan.work_ms) {
        due.push_back({key, "done"});
      }
    }
    for (const auto& [key, how] : due) EndRun(key, how);
  }

  void Tick() {
    while (true) {
      SleepMs(10);
      const std::lock_guard<std::mutex> lock(mutex_);
      if (lost_) return;
      EndDue();
    }
  }

  void Beat() {
    int64_t seq = 0;
    bool said_draining = false;
    int64_t sent = -1000000;
    int said_to = 0;
    while (true) {
      SleepMs(20);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (lost_) return;
      }
      const int port = agent_port_.load();
      const bool draining = draining_.load();
      const bool due = NowMs() - sent >= options_.heartbeat_ms;
      if (port == 0 || !(due || draining != said_draining || port != said_to)) continue;
      sent = NowMs();
      said_draining = draining;
      said_to = port;
      const Json body = {{"service", options_.service},
                         {"addr", "127.0.0.1:" + std::to_string(server_.port())},
                         {"zone", options_.zone},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", draining ? "draining" : "ready"},
                         {"coldRemainingMs", 0},
                         {"machine", "m-" + options_.id},
                         {"capacity",
                          {{"cpu", options_.capacity.cpu},
                           {"memMb", options_.capacity.mem},
                           {"gpu", options_.capacity.gpu}}},
                         {"labels", {"a", options_.rack}},
                         {"clockMs", ClockMs()},
                         {"born", born_ms_},
                         {"seq", ++seq}};
      const Answer answer =
          Call(port, "PUT", "/turmericshift/instances/" + options_.id, {}, body.dump(), 1000);
      // Not acknowledged: again soon.
      if (answer.status / 100 != 2) sent = NowMs() - options_.heartbeat_ms + 200;
    }
  }

  Reply Refuse(const std::string& reason) {
    return {409, Json({{"clockMs", ClockMs()}, {"born", born_ms_}, {"reason", reason}}).dump()};
  }
  Reply Ok() { return {200, Json({{"clockMs", ClockMs()}, {"born", born_ms_}}).dump()}; }

  Reply Handle(const Request& request) {
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != options_.id) return {421, "{}"};
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) return {400, "{}"};
    std::unique_lock<std::mutex> lock(mutex_);
    if (lost_) return {0, "", "", true};
    EndDue();
    const int64_t fence = body.value("fence", int64_t{0});
    if (fence < fence_) return Refuse("fence");
    fence_ = fence;
    if (request.path == "/turmericshift/run-start") return Start(body);
    if (request.path == "/turmericshift/run-stop") return Stop(body);
    if (request.path == "/turmericshift/hold") return Hold(body, &lock);
    return {404, "{}"};
  }

  void Extend(const Json& body) {
    if (!body.contains("deadlineMs")) return;
    const int64_t asked = body.at("deadlineMs").get<int64_t>();
    lease_ms_ = std::max(lease_ms_, std::min(asked, ClockMs() + 6000));
  }

  Reply Start(const Json& body) {
    const Key key = {body.at("task").get<std::string>(), body.at("run").get<int64_t>()};
    if (running_.count(key) > 0) return Ok();
    const auto ended = newest_ended_.find(key.first);
    if (ended != newest_ended_.end() && key.second <= ended->second) {
      Extend(body);
      return Refuse("old");
    }
    if (ClockMs() >= body.at("deadlineMs").get<int64_t>()) return Refuse("late");
    Run run;
    run.plan = plans_->Of(key.first);
    const Capacity used = Used();
    Extend(body);
    if (used.cpu + run.plan.need.cpu > options_.capacity.cpu ||
        used.mem + run.plan.need.mem > options_.capacity.mem ||
        used.gpu + run.plan.need.gpu > options_.capacity.gpu) {
      return Refuse("room");
    }
    run.begun_ms = NowMs();
    run.index = runs_->Begin(key.first, key.second, options_.id);
    running_[key] = run;
    Say("worker ", options_.id, ": run ", key.second, " of ", key.first, " begins");
    return Ok();
  }

  Reply Stop(const Json& body) {
    const Key key = {body.at("task").get<std::string>(), body.at("run").get<int64_t>()};
    newest_ended_[key.first] = std::max(newest_ended_[key.first], key.second);
    if (running_.count(key) > 0) EndRun(key, "stopped");
    return Ok();
  }

  Reply Hold(const Json& body, std::unique_lock<std::mutex>* lock) {
    Extend(body);
    const int64_t acked = body.value("ackedUpto", int64_t{0});
    std::erase_if(ended_, [&](const Ended& each) { return each.number <= acked; });
    const int64_t until = NowMs() + std::min<int64_t>(body.value("waitMs", int64_t{0}), 2000);
    while (ended_.empty() && NowMs() < until && !lost_) {
      changed_.wait_for(*lock, milliseconds(std::max<int64_t>(until - NowMs(), 1)));
    }
    if (lost_) return {0, "", "", true};
    Json running = Json::array();
    for (const auto& [key, run] : running_) {
      const int64_t percent = std::min<int64_t>(
          run.plan.lasting
              ? 100
              : 100 * (NowMs() - run.begun_ms) / std::max<int64_t>(run.plan.work_ms, 1),
          100);
      running.push_back({key.first, key.second, "", percent, run.plan.need.cpu});
    }
    Json ended = Json::array();
    for (const Ended& each : ended_) {
      if (ended.size() == 500) break;
      ended.push_back({each.number, each.task, each.run, each.how, each.saved});
    }
    return {
        200,
        Json({{"clockMs", ClockMs()}, {"born", born_ms_}, {"running", running}, {"ended", ended}})
            .dump()};
  }

  struct Ended {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how, saved;
  };

  const WorkerOptions options_;
  const Plans* const plans_;
  Runs* const runs_;
  const int64_t born_ms_;
  const int64_t clock_zero_ = NowMs();
  std::atomic<int> agent_port_{0};
  std::atomic<bool> draining_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  bool lost_ = false;
  int64_t fence_ = 0, lease_ms_ = 0, ends_ = 0;
  std::map<Key, Run> running_;
  std::map<std::string, int64_t> newest_ended_;
  std::vector<Ended> ended_;
  HttpServer server_;
};

// ---------------------------------------------------------------- the project's processes

inline std::string Env(const char* name, const std::string& fallback) {
  const char* value = getenv(name);
  return value == nullptr ? fallback : value;
}
inline bool Trouble() { return Env("TROUBLE", "1") != "0"; }

class Process {
 public:
  // `words`: the deploy file's command, with the settings file of this process.
  Process(std::string name, std::vector<std::string> words, std::string output)
      : name_(std::move(name)), words_(std::move(words)), output_(std::move(output)) {
    Start();
  }
  void Start() {
    pid_ = fork();
    if (pid_ != 0) {
      Say("process ", name_, " is started");
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(output_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    std::vector<char*> arguments;
    for (const std::string& word : words_) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  void Signal(int signal, bool quiet = false) {
    if (pid_ <= 0) return;
    if (!quiet) Say("process ", name_, " gets signal ", signal);
    kill(pid_, signal);
    if (signal != SIGKILL) return;
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Whether the process has ended by itself.
  bool Ended() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    Say("process ", name_, " has ended by itself, status ", status);
    pid_ = -1;
    return true;
  }
  const std::string& output() const { return output_; }

 private:
  const std::string name_;
  const std::vector<std::string> words_;
  const std::string output_;
  pid_t pid_ = -1;
};

struct Entry {
  std::string name, zone;
  int callers = 0, readiness = 0, sessions = 0;
  std::shared_ptr<StoreDoor> store;
  std::unique_ptr<Process> process;
};
struct Side {
  std::string name, zone;
  int announcements = 0;
  std::shared_ptr<StoreDoor> store;
  std::unique_ptr<Worker> worker;
  std::unique_ptr<Process> agent;
};

// A small deployment. Settings are those that deploy/entry.ini and deploy/agent.ini give for the
// bounds of potkocsi-sched.
class Deployment {
 public:
  Deployment() : folder_(MakeFolder()), binary_(Env("BINARY", "target/turmericshift")) {}
  // Ends all processes that were started. The deployment itself is never destroyed, since the
  // threads of the stand-ins run until the end.
  void KillAll() {
    for (const auto& entry : entries) entry->process->Signal(SIGKILL, true);
    for (const auto& side : sides) side->agent->Signal(SIGKILL, true);
    for (const auto& name : files_) unlink(name.c_str());
    rmdir(folder_.c_str());
  }
  Store store;
  Plans plans;
  Runs runs;
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<std::unique_ptr<Side>> sides;

  Entry* AddEntry(const std::string& name, const std::string& zone) {
    auto entry = std::make_unique<Entry>();
    entry->name = name;
    entry->zone = zone;
    entry->callers = FreePort();
    entry->readiness = FreePort();
    entry->sessions = FreePort();
    entry->store = store.Door();
    const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    const std::string settings = WriteSettings(
        name,
        "[process]\nname = " + name + "\navailability_zone = " + zone +
            "\nadapter = users\nstop_limit_s = 6\n\n[listen]\ncallers = " + at(entry->callers) +
            "\nreadiness = " + at(entry->readiness) + "\nsessions = " + at(entry->sessions) +
            "\n\n[store]\naddress = " + at(entry->store->port()) +
            "\n\n[vm]\nmemory_mb = 260\nprocessor_share = 0.25\nprocessor_speed = 1\n"
            "link_mbit_s = 1000.0\n\n[limits]\nrecord_bytes = 262144\n"
            "longest_lease_ms = 6000\nstray_factor = 3\nstatus_kept_s = 120\n"
            "cancel_ms = 3000\nzone_out_ms = 5000\nkey_withdrawn_ms = 5000\n"
            "visible_ms = 3000\ngang_wait_ms = 3000\nstop_ms = 400\nreclaim_ms = 2900\n"
            "restore_ms = 250\n");
    entry->process = std::make_unique<Process>(
        name, std::vector<std::string>{binary_, "pool", "entry", settings},
        folder_ + "/" + name + ".log");
    entries.push_back(std::move(entry));
    return entries.back().get();
  }

  Side* AddSide(const std::string& name, const WorkerOptions& options) {
    auto side = std::make_unique<Side>();
    side->name = name;
    side->zone = options.zone;
    side->announcements = FreePort();
    side->store = store.Door();
    side->worker = std::make_unique<Worker>(options, &plans, &runs);
    side->worker->SetAgentPort(side->announcements);
    const std::string settings = WriteSettings(
        name, "[process]\nname = " + name + "\navailability_zone = " + options.zone +
                  "\nadapter = users\n\n[listen]\nannouncements = 127.0.0.1:" +
                  std::to_string(side->announcements) +
                  "\n\n[worker]\naddress = 127.0.0.1:" + std::to_string(side->worker->port()) +
                  "\n\n[store]\naddress = 127.0.0.1:" + std::to_string(side->store->port()) +
                  "\n\n[vm]\nmemory_mb = 128\n\n[limits]\nlongest_lease_ms = 6000\n");
    side->agent = std::make_unique<Process>(
        name, std::vector<std::string>{binary_, "pool", "agent", settings},
        folder_ + "/" + name + ".log");
    sides.push_back(std::move(side));
    return sides.back().get();
  }

  // The machine is removed permanently, without SIGTERM.
  void Remove(Side* side) {
    Say("machine ", side->name, " is removed for good");
    side->agent->Signal(SIGKILL);
    side->worker->Lose();
  }

  struct Route {
    std::string name;
    int priority = 1;
    std::string service = "plans";
  };
  // The configuration, as the operator writes it.
  void Configure(int version, const std::vector<Route>& routes, int64_t guaranteed = 0) {
    Json list = Json::array();
    std::set<std::string> names;
    for (const Route& route : routes) {
      names.insert(route.service);
      list.push_back({{"name", route.name},
                      {"host", "plans.example"},
                      {"pathPrefix", "/" + route.name + "/"},
                      {"service", route.service},
                      {"priority", route.priority},
                      {"maxAttempts", 3},
                      {"stretch", 3.0},
                      {"targetLatencyMs", 1000}});
    }
    Json services = Json::array();
    for (const std::string& name : names) {
      services.push_back({{"name", name}, {"admissionControl", true}});
    }
    const Json document = {{"version", version},
                           {"routes", list},
                           {"services", services},
                           {"tenants",
                            {{{"name", "tenant"},
                              {"apiKeys", {"key-of-the-tenant"}},
                              {"guaranteedGpus", {{"gpu", guaranteed}}}}}},
                           {"limits", {{"maxBodyBytes", 262144}}}};
    store.Put("keyed.op", "config", document.dump());
    Say("operator: configuration ", version);
  }

  Answer Client(const Entry& entry, const std::string& method, const std::string& path,
                const std::string& body = "", bool quiet = false) {
    const Answer answer = Call(
        entry.callers, method, path,
        {"Host: plans.example", "Authorization: Bearer key-of-the-tenant", "Deadline-Ms: 3000"},
        body, 3500);
    if (!quiet) {
      Say("client: ", method, " ", path, " at ", entry.name, " -> ", answer.status, " ",
          answer.body);
    }
    return answer;
  }

  // Hands a job in, again at the next entry until there is a 2xx, as a client does. Returns when it
  // was accepted, or -1.
  int64_t Submit(const std::string& route, const std::string& id, const Json& steps,
                 const TaskPlan& plan, size_t first_entry = 0, int attempts = 4) {
    plans.Set(id, plan);
    const std::string body = Json({{"spec", "job " + id}, {"steps", steps}}).dump();
    for (int attempt = 0; attempt < attempts; ++attempt) {
      const Entry& entry = *entries[(first_entry + static_cast<size_t>(attempt)) % entries.size()];
      const Answer answer = Client(entry, "POST", "/" + route + "/" + id, body);
      if (answer.status / 100 == 2) return NowMs();
      SleepMs(300);
    }
    return -1;
  }

  bool AwaitReady(int64_t timeout_ms) {
    const int64_t until = NowMs() + timeout_ms;
    while (NowMs() < until) {
      bool ready = true;
      for (const auto& entry : entries) {
        ready = ready &&
                Call(entry->readiness, "GET", "/turmericshift/readyz", {}, "", 500).status == 200;
      }
      if (ready) return true;
      SleepMs(100);
    }
    return false;
  }
  // Whether a task of the job has begun within the time.
  bool AwaitBegun(const std::string& id, int64_t timeout_ms) {
    const int64_t until = NowMs() + timeout_ms;
    while (NowMs() < until) {
      if (!runs.OfJob(id).empty()) return true;
      SleepMs(20);
    }
    return false;
  }
  // Name of the entry whose log says last that it has become the planner.
  Entry* Planner() const {
    Entry* planner = nullptr;
    int64_t newest = -1;
    for (const auto& entry : entries) {
      std::ifstream lines(entry->process->output());
      std::string line;
      while (std::getline(lines, line)) {
        const Json event = Json::parse(line, nullptr, false);
        if (!event.is_object() || event.value("event", "") != "duty_taken") continue;
        const int64_t epoch = event.value("epoch", int64_t{0});
        if (epoch > newest) {
          newest = epoch;
          planner = entry.get();
        }
      }
    }
    return planner;
  }
  const std::string& folder() const { return folder_; }

 private:
  static std::string MakeFolder() {
    std::string name = Env("TMPDIR", "/tmp") + "/review3-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) std::exit(2);
    return name;
  }
  std::string WriteSettings(const std::string& name, const std::string& text) {
    const std::string path = folder_ + "/" + name + ".ini";
    files_.insert(path);
    files_.insert(folder_ + "/" + name + ".log");
    std::ofstream(path) << text;
    return path;
  }

  const std::string folder_;
  const std::string binary_;
  std::set<std::string> files_;
};

// Runs a case, ends all processes and exits with its result.
[[noreturn]] inline void RunCase(int argc, char** argv, int (*run)(Deployment*)) {
  Begin();
  Log().Open(argc > 1 ? argv[1] : "record.txt");
  auto* system = new Deployment;
  const int code = run(system);
  if (Env("KEEP", "").empty()) system->KillAll();
  std::_Exit(code);
}

// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
inline int Finish(int code, const std::string& why) {
  const char* names[] = {"HELD", "BROKEN", "COULD NOT RUN"};
  Say(names[code], ": ", why);
  std::cout << names[code] << ": " << why << std::endl;
  return code;
}

}  // namespace lab
