// Stand-ins for the scripts of the review, after PROTOCOL.md: the platform's store, workers and
// clients, in one process that also starts the programs of the deploy file. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const SteadyClock::time_point kBegin = SteadyClock::now();
inline int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(SteadyClock::now() - kBegin).count();
}
inline int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// ---- record.txt ----------------------------------------------------------------------------
class Record {
 public:
  void Open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof(at), "%9.3f  ", static_cast<double>(NowMs()) / 1000);
    out_ << at << text << "\n";
  }
  void Flush() {
    const std::lock_guard<std::mutex> lock(mutex_);
    out_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};
inline Record record;

// ---- HTTP ----------------------------------------------------------------------------------
struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};
struct Response {
  int status = 200;
  std::string body = "{}";
};

inline bool SendAll(int fd, const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<size_t>(n);
  }
  return true;
}

inline std::string Lower(std::string text) {
  for (char& each : text) each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
  return text;
}

inline std::string PercentDecode(const std::string& text) {
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

// Reads one message: the first line, the headers and a body of Content-Length bytes.
inline bool ReadMessage(int fd, std::string* buffer, std::string* first,
                        std::map<std::string, std::string>* headers, std::string* body) {
  char chunk[65536];
  size_t end = std::string::npos;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
    if (n <= 0) return false;
    buffer->append(chunk, static_cast<size_t>(n));
  }
  std::istringstream lines(buffer->substr(0, end));
  std::getline(lines, *first);
  if (!first->empty() && first->back() == '\r') first->pop_back();
  std::string line;
  headers->clear();
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    (*headers)[Lower(line.substr(0, colon))] = line.substr(value);
  }
  buffer->erase(0, end + 4);
  size_t length = 0;
  const auto found = headers->find("content-length");
  if (found != headers->end()) length = std::stoul(found->second);
  while (buffer->size() < length) {
    const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
    if (n <= 0) return false;
    buffer->append(chunk, static_cast<size_t>(n));
  }
  *body = buffer->substr(0, length);
  buffer->erase(0, length);
  return true;
}

inline int Listen(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(*port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  listen(fd, 1024);
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

// A port that is free now, below the range from which the system takes the ports of connections.
inline int FreePort() {
  static std::mt19937 random(std::random_device{}());
  static std::set<int> taken;
  while (true) {
    int port = std::uniform_int_distribution<int>(11000, 31000)(random);
    if (!taken.insert(port).second) continue;
    const int fd = Listen(&port);
    if (fd < 0) continue;
    close(fd);
    return port;
  }
}

class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  explicit Server(Handler handler) : handler_(std::move(handler)) {
    const int fd = Listen(&port_);
    std::thread([this, fd] { Accept(fd); }).detach();
  }
  int port() const { return port_; }

 private:
  void Accept(int listener) {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    std::string buffer;
    std::string first;
    Request request;
    while (ReadMessage(fd, &buffer, &first, &request.headers, &request.body)) {
      std::istringstream words(first);
      std::string target;
      words >> request.method >> target;
      request.query.clear();
      const size_t mark = target.find('?');
      request.path = target.substr(0, mark);
      if (mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
          const size_t equals = pair.find('=');
          if (equals == std::string::npos) continue;
          request.query[pair.substr(0, equals)] = PercentDecode(pair.substr(equals + 1));
        }
      }
      Response response;
      try {
        response = handler_(request);
      } catch (const std::exception&) {
        response = {400, "{}"};
      }
      std::string head = "HTTP/1.1 " + std::to_string(response.status) +
                         " X\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(response.body.size()) + "\r\n\r\n";
      if (!SendAll(fd, head + response.body)) break;
    }
    close(fd);
  }

  const Handler handler_;
  int port_ = 0;
};

// One call on a connection of its own. Status 0: no answer.
inline Response Call(int port, const std::string& method, const std::string& path,
                     const std::string& body, const std::string& headers, int64_t timeout_ms) {
  Response none{0, ""};
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  const timeval limit = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  std::string answer_body;
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      SendAll(fd, method + " " + path + " HTTP/1.1\r\n" + headers +
                      "Content-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body)) {
    std::string buffer;
    std::string first;
    std::map<std::string, std::string> answer_headers;
    if (ReadMessage(fd, &buffer, &first, &answer_headers, &answer_body)) {
      none.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
      none.body = answer_body;
    }
  }
  close(fd);
  return none;
}

// ---- the platform's store ------------------------------------------------------------------
inline std::string Base64(const std::string& in) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t v = static_cast<unsigned char>(in[i]) << 16U;
    if (i + 1 < in.size()) v |= static_cast<unsigned char>(in[i + 1]) << 8U;
    if (i + 2 < in.size()) v |= static_cast<unsigned char>(in[i + 2]);
    out += kDigits[v >> 18U & 63U];
    out += kDigits[v >> 12U & 63U];
    out += i + 1 < in.size() ? kDigits[v >> 6U & 63U] : '=';
    out += i + 2 < in.size() ? kDigits[v & 63U] : '=';
  }
  return out;
}

// Keyed topics with one partition each. Limits as in the settings of a small deployment:
// recordBytes, callBytes, appendMs, partitionMbS.
class Store {
 public:
  static constexpr size_t kRecordBytes = 262144;
  static constexpr size_t kCallBytes = 2097152;

  Store() : server_([this](const Request& request) { return Handle(request); }) {}
  int port() const { return server_.port(); }

  // The operator's write.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    Topic& t = Find(topic);
    const std::lock_guard<std::mutex> lock(t.mutex);
    AppendLocked(&t, key, value);
    t.changed.notify_all();
  }
  // The newest value of a key.
  std::string Get(const std::string& topic, const std::string& key) {
    Topic& t = Find(topic);
    const std::lock_guard<std::mutex> lock(t.mutex);
    const auto found = t.newest.find(key);
    return found == t.newest.end() ? "" : t.records[found->second].second;
  }
  // Largest value of a key so far, and appends that were refused because a record is too large.
  size_t LargestOf(const std::string& topic, const std::string& prefix) {
    Topic& t = Find(topic);
    const std::lock_guard<std::mutex> lock(t.mutex);
    size_t largest = 0;
    for (const auto& [key, value] : t.records) {
      if (key.rfind(prefix, 0) == 0) largest = std::max(largest, value.size());
    }
    return largest;
  }
  int64_t too_large() const { return too_large_.load(); }
  size_t largest_refused() const { return largest_refused_.load(); }

 private:
  struct Producer {
    int64_t epoch = -1;
    int64_t sequence = -1;
    std::deque<std::pair<int64_t, std::string>> answers;
  };
  struct Topic {
    std::mutex mutex;
    std::mutex append;
    std::condition_variable changed;
    std::vector<std::pair<std::string, std::string>> records;
    std::map<std::string, size_t> newest;
    std::map<std::string, Producer> producers;
  };

  Topic& Find(const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& topic = topics_[name];
    if (!topic) topic = std::make_unique<Topic>();
    return *topic;
  }
  static void AppendLocked(Topic* t, const std::string& key, const std::string& value) {
    t->records.emplace_back(key, value);
    if (value.empty()) {
      t->newest.erase(key);
    } else {
      t->newest[key] = t->records.size() - 1;
    }
  }
  Response Handle(const Request& request) {
    if (request.path == "/turmericshift/log-append") return Append(request);
    if (request.path == "/turmericshift/log-read") return Read(request);
    if (request.path == "/turmericshift/log-newest") return Newest(request);
    return {404, "{}"};
  }
  static int64_t Number(const Request& request, const char* name, int64_t fallback) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback : std::stoll(found->second);
  }
  Response Append(const Request& request) {
    const std::string name = request.query.at("topic");
    if (name == "keyed.op" || name == "keyed.servers") return {403, "{}"};
    std::vector<std::pair<std::string, std::string>> records;
    const std::string& body = request.body;
    bool too_large = body.size() > kCallBytes;
    for (size_t at = 0; at + 4 <= body.size();) {
      size_t size = 0;
      for (int i = 0; i < 4; ++i) size = size << 8U | static_cast<unsigned char>(body[at + i]);
      at += 4;
      if (size > kRecordBytes) {
        too_large = true;
        largest_refused_ = std::max(largest_refused_.load(), size);
      }
      const size_t key = static_cast<unsigned char>(body.at(at));
      records.emplace_back(body.substr(at + 1, key), body.substr(at + 1 + key, size - 1 - key));
      at += size;
    }
    Topic& t = Find(name);
    const std::lock_guard<std::mutex> in_turn(t.append);
    SleepMs(2 + static_cast<int64_t>(body.size()) / 20000);
    const std::lock_guard<std::mutex> lock(t.mutex);
    const auto producer_name = request.query.find("producer");
    Producer* producer = nullptr;
    const int64_t epoch = Number(request, "epoch", 0);
    const int64_t sequence = Number(request, "seq", 0);
    if (producer_name != request.query.end()) {
      producer = &t.producers[producer_name->second];
      if (epoch < producer->epoch) return {409, R"({"reason":"fenced"})"};
      if (epoch == producer->epoch) {
        for (const auto& [past, answer] : producer->answers) {
          if (past == sequence) return {200, answer};
        }
      }
    }
    if (too_large) {
      ++too_large_;
      return {400, R"({"error":"a record is larger than recordBytes"})"};
    }
    if (producer != nullptr && epoch == producer->epoch && sequence != producer->sequence + 1) {
      return {409, Json({{"reason", "seq"}, {"seq", producer->sequence + 1}}).dump()};
    }
    const int64_t as_of = Number(request, "asOf", -1);
    if (as_of >= 0 && as_of != static_cast<int64_t>(t.records.size())) {
      return {412, Json({{"end", t.records.size()}}).dump()};
    }
    const size_t offset = t.records.size();
    for (const auto& [key, value] : records) AppendLocked(&t, key, value);
    const std::string answer = Json({{"offset", offset}, {"end", t.records.size()}}).dump();
    if (producer != nullptr) {
      if (epoch > producer->epoch) producer->answers.clear();
      producer->epoch = epoch;
      producer->sequence = sequence;
      producer->answers.emplace_back(sequence, answer);
      if (producer->answers.size() > 5) producer->answers.pop_front();
    }
    t.changed.notify_all();
    return {200, answer};
  }
  static void PutNumber(uint64_t value, int bytes, std::string* out) {
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
      *out += static_cast<char>(value >> static_cast<unsigned>(shift) & 255U);
    }
  }
  Response Read(const Request& request) {
    Topic& t = Find(request.query.at("topic"));
    const auto from = static_cast<size_t>(Number(request, "from", 0));
    const auto most = static_cast<size_t>(Number(request, "maxKb", 1024)) * 1024;
    const auto until = SteadyClock::now() + milliseconds(Number(request, "waitMs", 0));
    SleepMs(1);
    std::unique_lock<std::mutex> lock(t.mutex);
    t.changed.wait_until(lock, until, [&] { return t.records.size() > from; });
    Response response{200, ""};
    PutNumber(t.records.size(), 8, &response.body);
    PutNumber(0, 8, &response.body);
    for (size_t i = from; i < t.records.size(); ++i) {
      const auto& [key, value] = t.records[i];
      const size_t size = 1 + key.size() + value.size();
      if (i > from && response.body.size() + size + 4 > most) break;
      PutNumber(size, 4, &response.body);
      response.body += static_cast<char>(key.size());
      response.body += key + value;
    }
    return response;
  }
  Response Newest(const Request& request) {
    Topic& t = Find(request.query.at("topic"));
    const auto after = request.query.find("after");
    SleepMs(2);
    const std::lock_guard<std::mutex> lock(t.mutex);
    Json items = Json::array();
    size_t bytes = 0;
    auto row =
        after == request.query.end() ? t.newest.begin() : t.newest.upper_bound(after->second);
    for (; row != t.newest.end(); ++row) {
      const std::string& value = t.records[row->second].second;
      if (items.size() == 500 || (!items.empty() && bytes + value.size() > 1000000)) break;
      bytes += value.size();
      items.push_back({{"key", row->first}, {"value", Base64(value)}, {"offset", row->second}});
    }
    return {200,
            Json({{"items", items}, {"hasMore", row != t.newest.end()}, {"end", t.records.size()}})
                .dump()};
  }

  std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Topic>> topics_;
  std::atomic<int64_t> too_large_{0};
  std::atomic<size_t> largest_refused_{0};
  Server server_;
};

// ---- runs, for the checks ------------------------------------------------------------------
struct Run {
  int64_t number = 0;
  std::string worker;
  int64_t started_ms = 0;
  int64_t ended_ms = -1;
  std::string how;
  int64_t noted_ms = -1;  // when `ackedUpto` reached its end
  bool lapsed_between = false;
};
class Runs {
 public:
  std::mutex mutex;
  std::map<std::string, std::vector<Run>> by_task;
};
inline Runs runs;

// ---- workers -------------------------------------------------------------------------------
struct WorkerOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  int64_t cpu = 64000;
  int64_t mem = 131072;
  int64_t gpu = 8;
  int64_t hold_max_ms = 6000;
  int64_t stop_ms = 50;
  int64_t heartbeat_ms = 1500;
  int64_t checkpoint_ms = 2000;
  size_t checkpoint_bytes = 16;
  // The worker's kind, its first label.
  std::string kind = "a";
  // How long a task works, by its name and its spec.
  std::function<int64_t(const std::string& task, const std::string& spec)> work_ms;
};

// Room that a task takes is not on the wire, so the stand-in learns it from the client's job.
struct Need {
  int64_t cpu = 0;
  int64_t mem = 0;
  int64_t gpu = 0;
  bool checkpointing = false;
};
inline std::mutex needs_mutex;
inline std::map<std::string, Need> needs;  // by ID.STEP
inline Need NeedOf(const std::string& task) {
  const size_t a = task.find('.');
  const size_t b = task.find('.', a + 1);
  const size_t c = task.find('.', b + 1);
  const std::lock_guard<std::mutex> lock(needs_mutex);
  return needs[task.substr(0, a) + "." + task.substr(b + 1, c - b - 1)];
}

class Worker {
 public:
  explicit Worker(WorkerOptions options)
      : options_(std::move(options)),
        born_(WallMs()),
        begin_(NowMs()),
        server_([this](const Request& request) { return Handle(request); }) {
    std::thread([this] { RunClock(); }).detach();
  }
  int port() const { return server_.port(); }
  // While it is unhealthy, it answers each start with 503 and does nothing.
  void SetUnhealthy(bool unhealthy) { unhealthy_.store(unhealthy); }
  void Announce(int control_port) {
    std::thread([this, control_port] {
      int64_t seq = 0;
      while (true) {
        const Json body = {
            {"service", options_.service},
            {"addr", "127.0.0.1:" + std::to_string(port())},
            {"zone", options_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"capacity", {{"cpu", options_.cpu}, {"memMb", options_.mem}, {"gpu", options_.gpu}}},
            {"labels", {options_.kind, options_.rack}},
            {"clockMs", Clock()},
            {"machine", "m-" + options_.id},
            {"born", born_},
            {"seq", ++seq}};
        const Response answer = Call(control_port, "PUT", "/turmericshift/instances/" + options_.id,
                                     body.dump(), "Host: control\r\n", 1000);
        SleepMs(answer.status == 200 ? options_.heartbeat_ms : 200);
      }
    }).detach();
  }

 private:
  struct Task {
    int64_t run = 0;
    int64_t started_ms = 0;
    int64_t work_ms = 0;
    int64_t saved_ms = 0;  // work that the checkpoint it began with holds
    int64_t stop_at = -1;
    bool checkpointing = false;
    Need need;
    size_t index = 0;
  };
  struct End {
    std::string task;
    int64_t run = 0;
    std::string how;
    std::string saved;
    size_t index = 0;
  };

  int64_t Clock() const { return NowMs() - begin_ + 1000; }
  std::string SavedOf(const Task& task) const {
    if (!task.checkpointing) return "";
    const int64_t done = task.saved_ms + NowMs() - task.started_ms;
    const int64_t whole = done / options_.checkpoint_ms * options_.checkpoint_ms;
    if (whole <= 0) return "";
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(whole));
    return std::string(options_.checkpoint_bytes - 16, 'c') + text;
  }
  void EndLocked(const std::string& name, const char* how) {
    const auto found = running_.find(name);
    const Task& task = found->second;
    End end{name, task.run, how, std::string(how) == "done" ? "" : SavedOf(task), task.index};
    {
      const std::lock_guard<std::mutex> lock(runs.mutex);
      Run& run = runs.by_task[name][task.index];
      run.ended_ms = NowMs();
      run.how = how;
    }
    ends_[++last_end_] = end;
    barred_[name] = std::max(barred_[name], task.run);
    running_.erase(found);
    changed_.notify_all();
  }
  void RunClock() {
    while (true) {
      SleepMs(10);
      const std::lock_guard<std::mutex> lock(mutex_);
      const int64_t now = NowMs();
      std::vector<std::pair<std::string, const char*>> over;
      for (const auto& [name, task] : running_) {
        if (task.stop_at >= 0 && now >= task.stop_at) {
          over.emplace_back(name, "stopped");
        } else if (Clock() > lease_) {
          over.emplace_back(name, "lapsed");
        } else if (now - task.started_ms >= task.work_ms - task.saved_ms) {
          over.emplace_back(name, "done");
        }
      }
      if (Clock() > lease_) NoteLapse();
      for (const auto& [name, how] : over) EndLocked(name, how);
    }
  }
  // "unless the worker's lease lapsed between the two": ends listed and not taken note of by now.
  void NoteLapse() {
    for (const auto& [number, end] : ends_) {
      const std::lock_guard<std::mutex> lock(runs.mutex);
      runs.by_task[end.task][end.index].lapsed_between = true;
    }
  }
  void Grant(const Json& body) {
    const auto deadline = body.find("deadlineMs");
    if (deadline == body.end()) return;
    lease_ = std::max(lease_, std::min(deadline->get<int64_t>(), Clock() + options_.hold_max_ms));
  }
  Response Refused(const char* reason) const {
    return {409, Json({{"clockMs", Clock()}, {"reason", reason}, {"born", born_}}).dump()};
  }
  Response Handle(const Request& request) {
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != options_.id) return {421, "{}"};
    const Json body = Json::parse(request.body);
    std::unique_lock<std::mutex> lock(mutex_);
    const int64_t fence = body.value("fence", int64_t{0});
    if (fence < fence_) return Refused("fence");
    fence_ = fence;
    if (request.path == "/turmericshift/run-start") {
      if (unhealthy_.load()) {
        record.Line("start " + body.value("task", std::string()) + " on " + options_.id +
                    " -> 503");
        return {503, "{}"};
      }
      return Start(body);
    }
    if (request.path == "/turmericshift/run-stop") return Stop(body);
    if (request.path == "/turmericshift/hold") return Hold(body, &lock);
    return {404, "{}"};
  }
  Response Start(const Json& body) {
    const std::string name = body.at("task");
    const int64_t number = body.at("run");
    const int64_t deadline = body.at("deadlineMs");
    const auto there = running_.find(name);
    if (there != running_.end() && there->second.run == number) {
      Grant(body);
      return {200, Json({{"clockMs", Clock()}, {"born", born_}}).dump()};
    }
    if (deadline <= Clock()) return Refused("late");
    Grant(body);
    const auto barred = barred_.find(name);
    if ((barred != barred_.end() && number <= barred->second) || there != running_.end()) {
      return Refused("old");
    }
    const Need need = NeedOf(name);
    Need used = need;
    for (const auto& [other, task] : running_) {
      used.cpu += task.need.cpu;
      used.mem += task.need.mem;
      used.gpu += task.need.gpu;
    }
    if (used.cpu > options_.cpu || used.mem > options_.mem || used.gpu > options_.gpu) {
      return Refused("room");
    }
    Task task;
    task.run = number;
    task.started_ms = NowMs();
    task.work_ms = options_.work_ms(name, body.at("spec"));
    const std::string saved = body.value("checkpoint", std::string());
    if (!saved.empty()) task.saved_ms = std::stoll(saved.substr(saved.size() - 16), nullptr, 16);
    task.need = need;
    task.checkpointing = need.checkpointing;
    {
      const std::lock_guard<std::mutex> lock(runs.mutex);
      auto& list = runs.by_task[name];
      task.index = list.size();
      Run run;
      run.number = number;
      run.worker = options_.id;
      run.started_ms = NowMs();
      list.push_back(run);
    }
    running_[name] = task;
    record.Line("start " + name + " run " + std::to_string(number) + " on " + options_.id);
    return {200, Json({{"clockMs", Clock()}, {"born", born_}}).dump()};
  }
  Response Stop(const Json& body) {
    const std::string name = body.at("task");
    const int64_t number = body.at("run");
    const auto there = running_.find(name);
    if (there != running_.end() && there->second.run == number) {
      if (there->second.stop_at < 0) there->second.stop_at = NowMs() + options_.stop_ms;
    } else {
      barred_[name] = std::max(barred_[name], number);
    }
    return {200, Json({{"clockMs", Clock()}, {"born", born_}}).dump()};
  }
  Response Hold(const Json& body, std::unique_lock<std::mutex>* lock) {
    Grant(body);
    const int64_t acked = body.value("ackedUpto", int64_t{0});
    while (!ends_.empty() && ends_.begin()->first <= acked) {
      const End& end = ends_.begin()->second;
      {
        const std::lock_guard<std::mutex> runs_lock(runs.mutex);
        runs.by_task[end.task][end.index].noted_ms = NowMs();
      }
      ends_.erase(ends_.begin());
    }
    const int64_t wait = std::min<int64_t>(body.value("waitMs", int64_t{0}), 2000);
    changed_.wait_for(*lock, milliseconds(wait), [this] { return !ends_.empty(); });
    Json running = Json::array();
    for (const auto& [name, task] : running_) {
      const int64_t done = task.saved_ms + NowMs() - task.started_ms;
      running.push_back({name, task.run, SavedOf(task),
                         std::min<int64_t>(100, 100 * done / std::max<int64_t>(1, task.work_ms)),
                         task.need.cpu});
    }
    Json ended = Json::array();
    for (const auto& [number, end] : ends_) {
      if (ended.size() == 500) break;
      ended.push_back({number, end.task, end.run, end.how, end.saved});
    }
    return {200,
            Json({{"clockMs", Clock()}, {"born", born_}, {"running", running}, {"ended", ended}})
                .dump()};
  }

  const WorkerOptions options_;
  const int64_t born_;
  const int64_t begin_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Task> running_;
  std::map<int64_t, End> ends_;
  std::map<std::string, int64_t> barred_;
  int64_t last_end_ = 0;
  int64_t fence_ = 0;
  int64_t lease_ = 0;
  std::atomic<bool> unhealthy_{false};
  Server server_;
};

// ---- processes of the deploy file ----------------------------------------------------------
inline std::string TempFolder() {
  static const std::string folder = [] {
    char name[] = "/tmp/review-XXXXXX";
    return std::string(mkdtemp(name));
  }();
  return folder;
}

struct Process {
  std::string name;
  std::vector<std::string> words;
  pid_t pid = -1;

  void Start() {
    pid = fork();
    if (pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const std::string log = TempFolder() + "/" + name + ".log";
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    std::vector<char*> args;
    for (std::string& word : words) args.push_back(word.data());
    args.push_back(nullptr);
    execv(args[0], args.data());
    _exit(127);
  }
  void Signal(int number) const {
    if (pid > 0) kill(pid, number);
  }
  void Kill() {
    if (pid <= 0) return;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    pid = -1;
  }
};

inline std::string WriteFile(const std::string& name, const std::string& text) {
  const std::string path = TempFolder() + "/" + name;
  std::ofstream(path) << text;
  return path;
}

struct Entry {
  std::string node;
  int front = 0;
  int ready = 0;
  Process process;
};
struct Agent {
  std::string node;
  int control = 0;
  Process process;
};

// A small deployment: three entries in three zones, and an agent beside each worker. The settings
// are deploy/entry.ini and deploy/agent.ini with the bounds of potkocsi-sched.
class Deployment {
 public:
  Deployment(Store* store, const std::string& program) : store_(store), program_(program) {}

  void AddEntry(const std::string& zone) {
    Entry entry;
    entry.node = "edge-" + zone + "-1";
    entry.front = FreePort();
    entry.ready = FreePort();
    const int sessions = FreePort();
    const std::string settings =
        "[process]\nname = " + entry.node + "\navailability_zone = " + zone +
        "\nadapter = users\nstop_limit_s = 6\n[listen]\ncallers = 127.0.0.1:" +
        std::to_string(entry.front) + "\nreadiness = 127.0.0.1:" + std::to_string(entry.ready) +
        "\nsessions = 127.0.0.1:" + std::to_string(sessions) +
        "\n[store]\naddress = 127.0.0.1:" + std::to_string(store_->port()) +
        "\n[vm]\nprocessor_share = 0.25\nprocessor_speed = 1\nlink_mbit_s = 1000.0\n"
        "[limits]\nlongest_lease_ms = 6000\nstray_factor = 3\nstatus_kept_s = 120\n"
        "cancel_ms = 3000\nzone_out_ms = 5000\nkey_withdrawn_ms = 5000\nvisible_ms = 3000\n"
        "gang_wait_ms = 3000\nstop_ms = 400\nreclaim_ms = 2900\nrestore_ms = 250\n";
    entry.process.name = entry.node;
    entry.process.words = {program_, "pool", "entry", WriteFile(entry.node + ".ini", settings)};
    entry.process.Start();
    entries.push_back(entry);
  }
  void AddAgent(const std::string& zone, int number, int worker_port) {
    Agent agent;
    agent.node = "side-" + zone + "-" + std::to_string(number);
    agent.control = FreePort();
    const std::string settings =
        "[process]\nname = " + agent.node + "\navailability_zone = " + zone +
        "\nadapter = users\n[listen]\nannouncements = 127.0.0.1:" + std::to_string(agent.control) +
        "\n[worker]\naddress = 127.0.0.1:" + std::to_string(worker_port) +
        "\n[store]\naddress = 127.0.0.1:" + std::to_string(store_->port()) + "\n";
    agent.process.name = agent.node;
    agent.process.words = {program_, "pool", "agent", WriteFile(agent.node + ".ini", settings)};
    agent.process.Start();
    agents.push_back(agent);
  }
  // The entry that last wrote to the store under a condition: the one that plans.
  Entry* Planner() {
    const std::string value = store_->Get("keyed.work", "planner");
    for (Entry& entry : entries) {
      if (value.find(entry.node) != std::string::npos) return &entry;
    }
    return nullptr;
  }
  bool AwaitReady(int64_t limit_ms) {
    const int64_t until = NowMs() + limit_ms;
    while (NowMs() < until) {
      size_t ready = 0;
      for (const Entry& entry : entries) {
        ready +=
            Call(entry.ready, "GET", "/turmericshift/readyz", "", "Host: r\r\n", 500).status == 200;
      }
      if (ready == entries.size() && Planner() != nullptr) return true;
      SleepMs(100);
    }
    return false;
  }
  void End() {
    for (Entry& entry : entries) entry.process.Kill();
    for (Agent& agent : agents) agent.process.Kill();
    if (std::getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf " + TempFolder();
      if (std::system(command.c_str()) != 0) std::perror("rm");
    }
  }

  std::vector<Entry> entries;
  std::vector<Agent> agents;

 private:
  Store* const store_;
  const std::string program_;
};

// ---- the operator's document and the clients -----------------------------------------------
inline const char* kHost = "nony24.example";
inline const char* kKey = "d4a3hwrr6x73d3zji9n7";
inline const char* kService = "huvo11a";

inline std::string Document(int64_t version) {
  const auto route = [](const char* name, const char* prefix, int priority, int64_t target_ms,
                        int attempts, double stretch) {
    return Json({{"name", name},
                 {"host", kHost},
                 {"pathPrefix", prefix},
                 {"kind", "non_idempotent"},
                 {"timeoutMs", 3000},
                 {"targetLatencyMs", target_ms},
                 {"priority", priority},
                 {"service", kService},
                 {"maxAttempts", attempts},
                 {"stretch", stretch},
                 {"public", false}});
  };
  return Json({{"version", version},
               {"routes",
                {route("r-urgent", "/pufi791/", 0, 250, 4, 1.5),
                 route("r-batch", "/lohu930/", 1, 1000, 3, 3.0),
                 route("r-bulk", "/pule252/", 2, 3000, 3, 3.0)}},
               {"services",
                {{{"name", kService},
                  {"healthPath", "/healthz"},
                  {"maxConns", 64},
                  {"protocol", "h1"},
                  {"tls", false},
                  {"coldStartS", 0.0},
                  {"coldPerS", 0.0},
                  {"admissionControl", true},
                  {"standby", false}}}},
               {"limits",
                {{"maxHeaderBytes", 16384},
                 {"maxBodyBytes", 262144},
                 {"headerTimeoutMs", 3000},
                 {"idleTimeoutMs", 15000}}},
               {"tenants",
                {{{"name", "kaje80"},
                  {"apiKeys", {kKey}},
                  {"priority", 1},
                  {"guaranteedGpus", {{"gpu", 88}}}}}}})
      .dump();
}

inline std::string CallerHeaders(int64_t deadline_ms) {
  return std::string("Host: ") + kHost + "\r\nAuthorization: Bearer " + kKey +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
}

inline void LearnNeeds(const std::string& id, const Json& steps) {
  const std::lock_guard<std::mutex> lock(needs_mutex);
  for (size_t i = 0; i < steps.size(); ++i) {
    needs[id + "." + std::to_string(i)] = {
        steps[i].value("cpu", int64_t{0}), steps[i].value("memMb", int64_t{0}),
        steps[i].value("gpu", int64_t{0}), steps[i].value("checkpointing", false)};
  }
}

// Hands a job in as a client does: up to four retries, at other entries, after no response, a
// broken connection, 502, 504, 429 or 503. Returns the last status.
inline int Submit(Deployment* deployment, const std::string& prefix, const std::string& id,
                  const Json& job, int tries = 5) {
  LearnNeeds(id, job.at("steps"));
  const std::string body = job.dump();
  int status = 0;
  for (int attempt = 0; attempt < tries; ++attempt) {
    const size_t at =
        (std::hash<std::string>()(id) + static_cast<size_t>(attempt)) % deployment->entries.size();
    const Entry& entry = deployment->entries[at];
    const int64_t sent = NowMs();
    record.Line("client POST " + prefix + id + " to " + entry.node + ", " +
                std::to_string(body.size()) + " bytes, try " + std::to_string(attempt + 1));
    status = Call(entry.front, "POST", prefix + id, body, CallerHeaders(3000), 3000).status;
    record.Line("client POST " + prefix + id + " -> " +
                (status == 0 ? "no answer" : std::to_string(status)) + " after " +
                std::to_string(NowMs() - sent) + " ms");
    if (status != 0 && status != 502 && status != 504 && status != 429 && status != 503) break;
    SleepMs(status == 429 || status == 503 ? 1000 : 100);
  }
  return status;
}

inline std::string StateOf(Deployment* deployment, const std::string& prefix, const std::string& id,
                           size_t entry) {
  const Response answer = Call(deployment->entries[entry % deployment->entries.size()].front, "GET",
                               prefix + id, "", CallerHeaders(3000), 3000);
  if (answer.status == 0) return "no answer";
  if (answer.status != 200) return std::to_string(answer.status);
  return Json::parse(answer.body).value("state", "?");
}

inline bool Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace lab
