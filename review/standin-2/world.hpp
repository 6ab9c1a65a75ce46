// Stand-ins of the platform for the scripts in review/4 to review/8: its store, its workers, its
// operator and its clients, on loopback addresses, and the project's own programs as processes.
// Where the users' pages are silent, a stand-in behaves like a sound server or client.
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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using std::chrono::milliseconds;

inline int64_t SteadyMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// What was sent, answered and run, with the seconds since the start of the script.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path), begun_(SteadyMs()) {}
  void Note(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", static_cast<double>(SteadyMs() - begun_) / 1000);
    out_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const int64_t begun_;
};

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  // When the connection was opened.
  int64_t connected_ms = 0;
};

struct Response {
  int status = 200;
  std::string body;
  // The connection ends without an answer.
  bool dropped = false;
  // The connection stays open and says nothing any more.
  bool silent = false;
};

inline std::string Lower(std::string text) {
  for (char& each : text) each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
  return text;
}

inline std::string Decode(const std::string& text) {
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

// Reads one HTTP message with a Content-Length, if any. Returns its head; empty at the end.
inline std::string ReadMessage(int fd, std::string* buffer, std::string* body) {
  size_t end = std::string::npos;
  char chunk[65536];
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    const ssize_t got = recv(fd, chunk, sizeof(chunk), 0);
    if (got <= 0) return "";
    buffer->append(chunk, static_cast<size_t>(got));
  }
  const std::string head = buffer->substr(0, end + 2);
  size_t length = 0;
  const size_t field = Lower(head).find("\r\ncontent-length:");
  if (field != std::string::npos) length = std::stoul(head.substr(field + 17));
  while (buffer->size() < end + 4 + length) {
    const ssize_t got = recv(fd, chunk, sizeof(chunk), 0);
    if (got <= 0) return "";
    buffer->append(chunk, static_cast<size_t>(got));
  }
  *body = buffer->substr(end + 4, length);
  buffer->erase(0, end + 4 + length);
  return head;
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a socket that is bound to the port, or to a free one if it is 0; -1 if the port is taken.
inline int Bound(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(*port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

// A free port below those that the system gives to connections, so that it stays free until the
// process that gets it has started.
inline int FreePort() {
  constexpr int kFirst = 20000;
  constexpr int kCount = 10000;
  static int next = getpid() * 37;
  while (true) {
    int port = kFirst + next++ % kCount;
    const int fd = Bound(&port);
    if (fd < 0) continue;
    close(fd);
    return port;
  }
}

// An HTTP server with a thread for each connection. Lives until the process ends.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {
    listener_ = Bound(&port_);
    listen(listener_, 512);
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return port_; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::string buffer;
    const int64_t connected_ms = SteadyMs();
    while (true) {
      Request request;
      request.connected_ms = connected_ms;
      const std::string head = ReadMessage(fd, &buffer, &request.body);
      if (head.empty()) break;
      ParseHead(head, &request);
      Response response;
      try {
        response = handler_(request);
      } catch (const std::exception& error) {
        response = {400, Json({{"error", error.what()}}).dump()};
      }
      if (response.silent) return;
      if (response.dropped) break;
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                           " x\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(response.body.size()) + "\r\n\r\n" + response.body)) {
        break;
      }
    }
    close(fd);
  }

  static void ParseHead(const std::string& head, Request* request) {
    const size_t first = head.find(' ');
    const size_t second = head.find(' ', first + 1);
    request->method = head.substr(0, first);
    std::string target = head.substr(first + 1, second - first - 1);
    const size_t mark = target.find('?');
    if (mark != std::string::npos) {
      std::string rest = target.substr(mark + 1) + "&";
      target = target.substr(0, mark);
      for (size_t at = 0, end = 0; (end = rest.find('&', at)) != std::string::npos; at = end + 1) {
        const std::string part = rest.substr(at, end - at);
        const size_t equals = part.find('=');
        if (equals == std::string::npos) continue;
        request->query[part.substr(0, equals)] = Decode(part.substr(equals + 1));
      }
    }
    request->path = Decode(target);
    size_t at = head.find("\r\n") + 2;
    while (at < head.size()) {
      const size_t end = head.find("\r\n", at);
      const size_t colon = head.find(':', at);
      if (colon == std::string::npos || colon > end) break;
      size_t value = colon + 1;
      while (value < end && head[value] == ' ') ++value;
      request->headers[Lower(head.substr(at, colon - at))] = head.substr(value, end - value);
      at = end + 2;
    }
  }

  const Handler handler_;
  int port_ = 0;
  int listener_ = -1;
};

// Makes one call on a connection of its own. Status 0: no answer in time.
inline Response Call(int port, const std::string& method, const std::string& path,
                     const std::string& headers, const std::string& body, int64_t limit_ms) {
  Response response;
  response.status = 0;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{limit_ms / 1000, static_cast<suseconds_t>(limit_ms % 1000 * 1000)};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in to = Loopback(port);
  std::string buffer;
  std::string head;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 &&
      SendAll(fd, method + " " + path + " HTTP/1.1\r\n" + headers +
                      "Content-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body)) {
    head = ReadMessage(fd, &buffer, &response.body);
  }
  if (head.size() > 12) response.status = std::stoi(head.substr(9, 3));
  close(fd);
  return response;
}

// A way between two processes. While it is cut, what is sent over connections of the node `cut_off`
// is held back; a connection is known by the node's name in what its client has sent. An empty name
// stands for all connections.
class Way {
 public:
  Way(int target, std::string cut_off) : target_(target), cut_off_(std::move(cut_off)) {
    listener_ = Bound(&port_);
    listen(listener_, 512);
    std::thread([this] {
      while (true) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread([this, fd] { Forward(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  void SetCut(bool cut) { cut_ = cut; }

 private:
  void Forward(int client) {
    const int on = 1;
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = Loopback(target_);
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const bool connected = connect(server, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
    auto known = std::make_shared<std::atomic<bool>>(cut_off_.empty());
    if (connected) {
      std::thread back([this, client, server, known] { Copy(server, client, false, known); });
      Copy(client, server, true, known);
      back.join();
    }
    close(client);
    close(server);
  }

  void Copy(int from, int to, bool from_client, const std::shared_ptr<std::atomic<bool>>& known) {
    char chunk[65536];
    while (true) {
      const ssize_t got = recv(from, chunk, sizeof(chunk), 0);
      if (got <= 0) break;
      const std::string bytes(chunk, static_cast<size_t>(got));
      if (from_client && bytes.find(cut_off_) != std::string::npos) *known = true;
      while (cut_ && *known) SleepMs(5);
      if (!SendAll(to, bytes)) break;
    }
    shutdown(to, SHUT_RDWR);
  }

  const int target_;
  const std::string cut_off_;
  std::atomic<bool> cut_{false};
  int port_ = 0;
  int listener_ = -1;
};

// The platform's store: a log with topics, of which those named `keyed.` keep the newest record of
// each key.
class Store {
 public:
  Store() : server_([this](const Request& request) { return Handle(request); }) {}
  int port() const { return server_.port(); }

  // The operator's own writes.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Add(&topics_[topic], std::string(1, static_cast<char>(key.size())) + key + value);
    changed_.notify_all();
  }

 private:
  struct Producer {
    int64_t epoch = -1;
    int64_t seq = 0;
    std::map<int64_t, std::pair<int64_t, int64_t>> answers;
  };
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, int64_t>> newest;
    std::map<std::string, Producer> producers;
    int64_t end() const { return static_cast<int64_t>(records.size()); }
  };

  static void Add(Topic* topic, const std::string& record) {
    const size_t size = static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, size);
    const std::string value = record.substr(1 + size);
    if (value.empty()) {
      topic->newest.erase(key);
    } else {
      topic->newest[key] = {value, topic->end()};
    }
    topic->records.push_back(record);
  }

  static int64_t Number(const Request& request, const std::string& name, int64_t fallback) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback : std::stoll(found->second);
  }

  static std::string BigEndian(uint64_t value, int bytes) {
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
      out += static_cast<char>(value >> shift & 255U);
    }
    return out;
  }

  static std::string Base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < bytes.size(); i += 3) {
      uint32_t group = 0;
      for (size_t j = 0; j < 3; ++j) {
        group =
            group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
      }
      for (size_t j = 0; j < 4; ++j) {
        out += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U];
      }
    }
    return out;
  }

  Response Handle(const Request& request) {
    const auto name = request.query.find("topic");
    if (name == request.query.end()) return {400, "{}"};
    std::unique_lock<std::mutex> lock(mutex_);
    Topic& topic = topics_[name->second];
    if (request.path == "/turmericshift/log-append") {
      const Response response = Append(request, &topic);
      lock.unlock();
      SleepMs(4);
      return response;
    }
    if (request.path == "/turmericshift/log-newest") return Newest(request, topic);
    if (request.path != "/turmericshift/log-read") return {404, "{}"};
    const int64_t from = Number(request, "from", 0);
    changed_.wait_for(lock, milliseconds(Number(request, "waitMs", 0)),
                      [&] { return topic.end() > from; });
    std::string body = BigEndian(static_cast<uint64_t>(topic.end()), 8) + BigEndian(0, 8);
    for (int64_t at = from; at < topic.end() && body.size() < (1U << 20U); ++at) {
      const std::string& record = topic.records[static_cast<size_t>(at)];
      body += BigEndian(record.size(), 4) + record;
    }
    return {200, body};
  }

  Response Append(const Request& request, Topic* topic) {
    const auto named = request.query.find("producer");
    Producer* producer = named == request.query.end() ? nullptr : &topic->producers[named->second];
    const int64_t epoch = Number(request, "epoch", 0);
    const int64_t seq = Number(request, "seq", 0);
    if (producer != nullptr) {
      if (epoch < producer->epoch) return {409, R"({"reason":"fenced"})"};
      if (epoch == producer->epoch) {
        const auto repeated = producer->answers.find(seq);
        if (repeated != producer->answers.end()) return Appended(repeated->second);
        if (seq != producer->seq + 1) {
          return {409, Json({{"reason", "seq"}, {"seq", producer->seq + 1}}).dump()};
        }
      }
    }
    if (Number(request, "asOf", topic->end()) != topic->end()) {
      return {412, Json({{"end", topic->end()}}).dump()};
    }
    const int64_t first = topic->end();
    for (size_t at = 0; at + 4 <= request.body.size();) {
      size_t size = 0;
      for (size_t i = 0; i < 4; ++i) {
        size = size << 8U | static_cast<unsigned char>(request.body[at + i]);
      }
      Add(topic, request.body.substr(at + 4, size));
      at += 4 + size;
    }
    const std::pair<int64_t, int64_t> answer = {first, topic->end()};
    if (producer != nullptr) {
      if (epoch > producer->epoch) producer->answers.clear();
      producer->epoch = epoch;
      producer->seq = seq;
      producer->answers[seq] = answer;
      if (producer->answers.size() > 5) producer->answers.erase(producer->answers.begin());
    }
    changed_.notify_all();
    return Appended(answer);
  }

  static Response Appended(const std::pair<int64_t, int64_t>& answer) {
    return {200, Json({{"offset", answer.first}, {"end", answer.second}}).dump()};
  }

  static Response Newest(const Request& request, const Topic& topic) {
    const auto after = request.query.find("after");
    auto row = after == request.query.end() ? topic.newest.begin()
                                            : topic.newest.upper_bound(after->second);
    Json items = Json::array();
    for (; row != topic.newest.end() && items.size() < 500; ++row) {
      items.push_back({{"key", row->first},
                       {"value", Base64(row->second.first)},
                       {"offset", row->second.second}});
    }
    return {200,
            Json({{"items", items}, {"hasMore", row != topic.newest.end()}, {"end", topic.end()}})
                .dump()};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  Server server_;
};

// How a task that has begun goes on, as the platform's users have written it into the job's spec.
struct Behaviour {
  // Ends after this time; below 0: it does not end.
  int64_t ends_after_ms = -1;
  std::string how = "done";
  // Runs until it is stopped; at work after a short startup.
  bool lasts = false;
};

struct Room {
  int64_t cpu = 0;
  int64_t mem = 0;
  int64_t gpu = 0;
};

// One run of a task, as its worker saw it.
struct Run {
  std::string task;
  int64_t number = 0;
  std::string worker;
  int64_t begun_ms = 0;
  int64_t ended_ms = -1;
  std::string how;
};

// All runs on all workers.
class Runs {
 public:
  size_t Begin(const Run& run) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back(run);
    return runs_.size() - 1;
  }
  void End(size_t index, const std::string& how) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[index].ended_ms = SteadyMs();
    runs_[index].how = how;
  }
  std::vector<Run> all() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

struct WorkerOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  std::string machine;
  Room capacity{64000, 131072, 8};
  int64_t hold_max_ms = 6000;
  int64_t stop_ms = 100;
  int64_t heartbeat_ms = 1500;
};

// A worker and its clock. Its service has admission control.
class Worker {
 public:
  // `needs`: room of a task; `behaves`: how a start with this spec goes on.
  Worker(const WorkerOptions& options, Record* record, Runs* runs,
         std::function<Room(const std::string& task)> needs,
         std::function<Behaviour(const std::string& task, const std::string& spec)> behaves)
      : options_(options),
        record_(record),
        runs_(runs),
        needs_(std::move(needs)),
        behaves_(std::move(behaves)),
        born_(WallMs()),
        begun_(SteadyMs()),
        server_([this](const Request& request) { return Handle(request); }) {
    std::thread([this] { Tick(); }).detach();
  }
  int port() const { return server_.port(); }
  const WorkerOptions& options() const { return options_; }

  // Announces the worker to its agent from now on.
  void AnnounceTo(int agent_port) {
    std::thread([this, agent_port] {
      while (true) {
        if (SteadyMs() < announces_from_) {
          SleepMs(10);
          continue;
        }
        const Response answer = Call(agent_port, "PUT", "/turmericshift/instances/" + options_.id,
                                     "Host: a\r\n", Announcement().dump(), 1000);
        SleepMs(answer.status == 200 ? options_.heartbeat_ms : 200);
      }
    }).detach();
  }

  // Loses power and starts again at once under its id: it holds and knows nothing of before, its
  // counts and its clock start anew, and connections of before say nothing any more. It announces
  // itself after `first_heartbeat_ms`.
  void Restart(int64_t first_heartbeat_ms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [task, run] : active_) runs_->End(run.index, "lost");
    active_.clear();
    newest_over_.clear();
    ends_.clear();
    born_ = WallMs();
    begun_ = SteadyMs();
    announces_from_ = begun_ + first_heartbeat_ms;
    sequence_ = fence_ = lease_until_ = end_count_ = 0;
    record_->Note(options_.id + " loses power and starts again under its id");
    changed_.notify_all();
  }

  Json Announcement() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return {{"service", options_.service},
            {"addr", "127.0.0.1:" + std::to_string(port())},
            {"zone", options_.zone},
            {"machine", options_.machine},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"capacity",
             {{"cpu", options_.capacity.cpu},
              {"memMb", options_.capacity.mem},
              {"gpu", options_.capacity.gpu}}},
            {"labels", {"a", options_.rack}},
            {"clockMs", Clock()},
            {"born", born_},
            {"seq", ++sequence_}};
  }

 private:
  struct Active {
    size_t index = 0;
    int64_t number = 0;
    int64_t begun_ms = 0;
    Behaviour behaviour;
    Room need;
    int64_t stops_at = -1;
  };

  int64_t Clock() const { return SteadyMs() - begun_ + 1000; }

  void End(const std::string& task, const std::string& how) {
    const Active active = active_.at(task);
    active_.erase(task);
    newest_over_[task] = std::max(newest_over_[task], active.number);
    ends_[++end_count_] = {task, active.number, how};
    runs_->End(active.index, how);
    record_->Note("run on " + options_.id + ": " + task + " run " + std::to_string(active.number) +
                  " ended " + how);
    changed_.notify_all();
  }

  void Tick() {
    while (true) {
      SleepMs(5);
      const std::lock_guard<std::mutex> lock(mutex_);
      const std::map<std::string, Active> active = active_;
      for (const auto& [task, run] : active) {
        const int64_t age = SteadyMs() - run.begun_ms;
        if (Clock() >= lease_until_) {
          End(task, "lapsed");
        } else if (run.stops_at >= 0 && SteadyMs() >= run.stops_at) {
          End(task, "stopped");
        } else if (run.behaviour.ends_after_ms >= 0 && age >= run.behaviour.ends_after_ms) {
          End(task, run.behaviour.how);
        }
      }
    }
  }

  void TakeLease(const Json& body) {
    if (!body.contains("deadlineMs")) return;
    const int64_t until = body["deadlineMs"].get<int64_t>();
    lease_until_ = std::max(lease_until_, std::min(until, Clock() + options_.hold_max_ms));
  }

  Response Refused(const char* reason) const {
    return {409, Json({{"clockMs", Clock()}, {"reason", reason}}).dump()};
  }

  Response Handle(const Request& request) {
    const auto expected = request.headers.find("expect-instance");
    std::unique_lock<std::mutex> lock(mutex_);
    if (request.connected_ms < begun_) {
      Response reset;
      reset.dropped = true;
      return reset;
    }
    if (expected != request.headers.end() && expected->second != options_.id) {
      return {421, Json({{"clockMs", Clock()}}).dump()};
    }
    const Json body = Json::parse(request.body);
    const int64_t fence = body.value("fence", int64_t{0});
    if (fence < fence_) return Refused("fence");
    fence_ = fence;
    if (request.path == "/turmericshift/run-start") return Start(body);
    if (request.path == "/turmericshift/run-stop") return Stop(body);
    if (request.path == "/turmericshift/hold") return Hold(body, &lock);
    return {404, "{}"};
  }

  Response Start(const Json& body) {
    const std::string task = body.at("task");
    const int64_t number = body.at("run");
    const auto active = active_.find(task);
    if (active != active_.end() && active->second.number == number) return Accepted();
    if (body.at("deadlineMs").get<int64_t>() <= Clock()) return Refused("late");
    TakeLease(body);
    const auto over = newest_over_.find(task);
    if (active != active_.end() || (over != newest_over_.end() && number <= over->second)) {
      return Refused("old");
    }
    const Room need = needs_(task);
    Room used = need;
    for (const auto& [name, run] : active_) {
      used.cpu += run.need.cpu;
      used.mem += run.need.mem;
      used.gpu += run.need.gpu;
    }
    const Room& all = options_.capacity;
    if (used.cpu > all.cpu || used.mem > all.mem || used.gpu > all.gpu) return Refused("room");
    Active run;
    run.number = number;
    run.begun_ms = SteadyMs();
    run.behaviour = behaves_(task, body.value("spec", ""));
    run.need = need;
    run.index = runs_->Begin({task, number, options_.id, run.begun_ms, -1, ""});
    active_[task] = run;
    record_->Note("run on " + options_.id + ": " + task + " run " + std::to_string(number) +
                  " begins");
    return Accepted();
  }

  Response Accepted() const { return {200, Json({{"clockMs", Clock()}}).dump()}; }

  Response Stop(const Json& body) {
    const std::string task = body.at("task");
    const int64_t number = body.at("run");
    newest_over_[task] = std::max(newest_over_[task], number);
    const auto active = active_.find(task);
    if (active != active_.end() && active->second.number == number && active->second.stops_at < 0) {
      active->second.stops_at = SteadyMs() + options_.stop_ms;
    }
    return Accepted();
  }

  Response Hold(const Json& body, std::unique_lock<std::mutex>* lock) {
    TakeLease(body);
    const int64_t acked = body.value("ackedUpto", int64_t{0});
    ends_.erase(ends_.begin(), ends_.upper_bound(acked));
    const int64_t life = begun_;
    changed_.wait_for(*lock, milliseconds(body.value("waitMs", int64_t{0})),
                      [&] { return !ends_.empty() || begun_ != life; });
    if (begun_ != life) {
      Response silent;
      silent.silent = true;
      return silent;
    }
    Json running = Json::array();
    for (const auto& [task, run] : active_) {
      const int64_t age = SteadyMs() - run.begun_ms;
      const int64_t whole = std::max<int64_t>(run.behaviour.ends_after_ms, 1);
      const int64_t percent =
          run.behaviour.lasts ? (age >= 100 ? 100 : 0) : std::min<int64_t>(99, 100 * age / whole);
      running.push_back(Json::array({task, run.number, "", percent, run.need.cpu}));
    }
    Json ended = Json::array();
    for (const auto& [number, end] : ends_) {
      ended.push_back(Json::array({number, end.task, end.run, end.how, ""}));
    }
    return {200,
            Json({{"clockMs", Clock()}, {"born", born_}, {"running", running}, {"ended", ended}})
                .dump()};
  }

  struct Ended {
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  const WorkerOptions options_;
  Record* const record_;
  Runs* const runs_;
  const std::function<Room(const std::string&)> needs_;
  const std::function<Behaviour(const std::string&, const std::string&)> behaves_;
  int64_t born_;
  int64_t begun_;
  std::atomic<int64_t> announces_from_{0};
  std::mutex mutex_;
  std::condition_variable changed_;
  int64_t sequence_ = 0;
  int64_t fence_ = 0;
  int64_t lease_until_ = 0;
  int64_t end_count_ = 0;
  std::map<std::string, Active> active_;
  std::map<std::string, int64_t> newest_over_;
  std::map<int64_t, Ended> ends_;
  Server server_;
};

// A process of the project, started with a command of the deploy file.
class Program {
 public:
  Program(const std::string& folder, const std::string& binary, const std::string& role,
          const std::string& name, const std::string& settings)
      : folder_(folder), binary_(binary), role_(role), name_(name), settings_(settings) {
    const std::string path = folder + "/" + name + ".ini";
    const std::string log = folder + "/" + name + ".log";
    std::ofstream(path) << settings;
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(binary.c_str(), binary.c_str(), "pool", role.c_str(), path.c_str(), nullptr);
    _exit(127);
  }
  std::unique_ptr<Program> Again() const {
    return std::make_unique<Program>(folder_, binary_, role_, name_, settings_);
  }
  pid_t pid() const { return pid_; }
  void Signal(int signal) const { kill(pid_, signal); }
  // Returns whether the process has ended by itself.
  bool Ended() const {
    int status = 0;
    return waitpid(pid_, &status, WNOHANG) == pid_;
  }
  void End() const {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }

 private:
  const std::string folder_;
  const std::string binary_;
  const std::string role_;
  const std::string name_;
  const std::string settings_;
  pid_t pid_ = 0;
};

struct Entry {
  std::string name;
  std::string zone;
  int callers = 0;
  int ready = 0;
  int sessions = 0;
  std::unique_ptr<Program> program;
};

// A small deployment: entries and agents as processes of the project, the platform as stand-ins.
// The bounds are those of the site potkocsi-sched.
class World {
 public:
  World(const std::string& case_folder)
      : record(case_folder + "/record.txt"), binary_("target/turmericshift") {
    char name[] = "/tmp/review-XXXXXX";
    folder_ = mkdtemp(name);
    signal(SIGPIPE, SIG_IGN);
  }
  ~World() { EndAll(); }

  void AddEntry(const std::string& name, const std::string& zone, const std::string& more = "") {
    entries.push_back({name, zone, FreePort(), FreePort(), FreePort(), nullptr});
    Entry& entry = entries.back();
    const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    entry.program = std::make_unique<Program>(
        folder_, binary_, "entry", name,
        "[process]\nname = " + name + "\navailability_zone = " + zone +
            "\nadapter = users\nstop_limit_s = 6\n[listen]\ncallers = " + at(entry.callers) +
            "\nreadiness = " + at(entry.ready) + "\nsessions = " + at(entry.sessions) +
            (cut_off.empty() ? ""
                             : "\nsessions_reached_at = " + at(WayTo(entry.sessions, cut_off))) +
            "\n[store]\naddress = " + at(store.port()) +
            "\n[vm]\nprocessor_share = 0.25\nprocessor_speed = 1\nlink_mbit_s = 1000\n" + more +
            "[limits]\nrecord_bytes = 262144\nlongest_lease_ms = 6000\nstray_factor = 3\n"
            "status_kept_s = 120\ncancel_ms = 3000\nzone_out_ms = 5000\nkey_withdrawn_ms = 5000\n"
            "visible_ms = 3000\ngang_wait_ms = 3000\nstop_ms = 400\nreclaim_ms = 2900\n"
            "restore_ms = 250\n");
  }

  void AddWorker(const WorkerOptions& options, const std::function<Room(const std::string&)>& needs,
                 const std::function<Behaviour(const std::string&, const std::string&)>& behaves) {
    workers.push_back(std::make_unique<Worker>(options, &record, &runs, needs, behaves));
    agent_ports.push_back(FreePort());
    const std::string name = "agent-" + options.machine;
    agents.push_back(std::make_unique<Program>(
        folder_, binary_, "agent", name,
        "[process]\nname = " + name + "\navailability_zone = " + options.zone +
            "\nadapter = users\n[listen]\nannouncements = 127.0.0.1:" +
            std::to_string(agent_ports.back()) + "\n[worker]\naddress = 127.0.0.1:" +
            std::to_string(workers.back()->port()) + "\n[store]\naddress = 127.0.0.1:" +
            std::to_string(name == cut_off ? WayTo(store.port(), "") : store.port()) + "\n"));
    workers.back()->AnnounceTo(agent_ports.back());
  }

  // Starts an entry or an agent again, with the settings that it had.
  void Restart(size_t number) {
    entries[number].program->End();
    entries[number].program = entries[number].program->Again();
  }
  void RestartAgent(size_t number) {
    agents[number]->End();
    agents[number] = agents[number]->Again();
  }

  // The platform's balancer counts an entry in once it says that it is ready.
  bool AwaitReady(int64_t limit_ms) {
    const int64_t until = SteadyMs() + limit_ms;
    for (const Entry& entry : entries) {
      while (Call(entry.ready, "GET", "/turmericshift/readyz", "Host: a\r\n", "", 500).status !=
             200) {
        if (SteadyMs() > until) return false;
        SleepMs(100);
      }
    }
    return true;
  }

  Response Client(size_t entry, const std::string& method, const std::string& path,
                  const std::string& body = "", int64_t limit_ms = 3000) {
    const Response response =
        Call(entries[entry].callers, method, path,
             "Host: plans.example\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: " +
                 std::to_string(limit_ms) + "\r\n",
             body, limit_ms + 500);
    record.Note("client: " + method + " " + path + " at " + entries[entry].name + " -> " +
                std::to_string(response.status) + " " + response.body.substr(0, 100));
    return response;
  }

  // Hands a job in, again at the next entry after no answer, 502, 503 or 504, as clients do.
  bool Submit(const std::string& path, const std::string& body) {
    for (size_t attempt = 0; attempt < 20; ++attempt) {
      const int status = Client(attempt % entries.size(), "POST", path, body).status;
      if (status >= 200 && status < 300) return true;
      SleepMs(300);
    }
    return false;
  }

  void EndAll() {
    for (const Entry& entry : entries) entry.program->End();
    for (const auto& agent : agents) agent->End();
    entries.clear();
    agents.clear();
    if (std::getenv("KEEP") == nullptr) {
      const std::string remove = "rm -rf " + folder_;
      if (std::system(remove.c_str()) != 0) return;
    }
  }
  const std::string& folder() const { return folder_; }

  // Cuts the agent `cut_off` off from the store and all entries, or ends the cut.
  void SetCut(bool cut) {
    for (const auto& way : ways_) way->SetCut(cut);
    record.Note(cut_off +
                (cut ? " is cut off from the store and the entries" : " is cut off no more"));
  }

  // The agent that SetCut cuts off; to be set before processes are added.
  std::string cut_off;

  Record record;
  Store store;
  Runs runs;
  std::vector<Entry> entries;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Program>> agents;
  std::vector<int> agent_ports;

 private:
  int WayTo(int port, const std::string& node) {
    ways_.push_back(std::make_unique<Way>(port, node));
    return ways_.back()->port();
  }

  const std::string binary_;
  std::string folder_;
  std::vector<std::unique_ptr<Way>> ways_;
};

// The configuration: one service and a queue for each priority, named p0 to p2.
inline std::string Configuration(int64_t version, int max_attempts = 3) {
  Json routes = Json::array();
  for (int priority = 0; priority < 3; ++priority) {
    const std::string name = "p" + std::to_string(priority);
    routes.push_back({{"name", name},
                      {"host", "plans.example"},
                      {"pathPrefix", "/" + name + "/"},
                      {"service", "plans"},
                      {"priority", priority},
                      {"maxAttempts", max_attempts},
                      {"stretch", 3.0},
                      {"targetLatencyMs", 1000},
                      {"timeoutMs", 3000}});
  }
  return Json({{"version", version},
               {"routes", routes},
               {"services", {{{"name", "plans"}, {"admissionControl", true}}}},
               {"tenants",
                {{{"name", "one"}, {"apiKeys", {"key-1"}}, {"guaranteedGpus", {{"gpu", 4}}}}}},
               {"limits", {{"maxBodyBytes", 262144}}}})
      .dump();
}

// A pool of `count` workers of one service, each in a zone of its own, beside two entries.
inline void AddPool(
    World* world, int count, const std::string& more_settings,
    const std::function<Room(const std::string&)>& needs,
    const std::function<Behaviour(const std::string&, const std::string&)>& behaves) {
  for (int i = 0; i < 2; ++i) {
    world->AddEntry("entry-" + std::to_string(i), std::string(1, static_cast<char>('a' + i)),
                    more_settings);
  }
  for (int i = 0; i < count; ++i) {
    WorkerOptions options;
    options.id = "i-" + std::to_string(i);
    options.service = "plans";
    options.zone = std::string(1, static_cast<char>('a' + i));
    options.rack = "r0";
    options.machine = "m-" + std::to_string(i);
    world->AddWorker(options, needs, behaves);
  }
}

// LOST for tasks that last: from 6 s after its last run on, nothing of the task runs for 3 s, while
// the workers have room for it twice over. Returns what is broken; empty if the rule holds. `from`
// and `until`: the span that is judged, in which no worker, machine or link had a disruption.
inline std::string ForgottenTask(const std::vector<Run>& runs, const std::string& task,
                                 const Room& capacity, const std::vector<std::string>& workers,
                                 const std::function<Room(const std::string&)>& needs, int64_t from,
                                 int64_t until) {
  constexpr int64_t kAfterLastRunMs = 6000;
  constexpr int64_t kNothingRunsMs = 3000;
  constexpr int64_t kStepMs = 50;
  const Room need = needs(task);
  int64_t idle_since = -1;
  int64_t last_end = -1;
  for (int64_t now = from; now <= until; now += kStepMs) {
    bool runs_now = false;
    std::map<std::string, Room> used;
    last_end = -1;
    for (const Run& run : runs) {
      if (run.begun_ms > now) continue;
      const bool over = run.ended_ms >= 0 && run.ended_ms <= now;
      if (run.task == task && over) last_end = std::max(last_end, run.ended_ms);
      if (over) continue;
      if (run.task == task) runs_now = true;
      const Room taken = needs(run.task);
      used[run.worker].cpu += taken.cpu;
      used[run.worker].mem += taken.mem;
      used[run.worker].gpu += taken.gpu;
    }
    int64_t fits = 0;
    for (const std::string& worker : workers) {
      fits += std::min({(capacity.cpu - used[worker].cpu) / need.cpu,
                        (capacity.mem - used[worker].mem) / need.mem,
                        (capacity.gpu - used[worker].gpu) / need.gpu});
    }
    const bool idle = !runs_now && last_end >= 0 && now >= last_end + kAfterLastRunMs && fits >= 2;
    if (!idle) {
      idle_since = -1;
    } else if (idle_since < 0) {
      idle_since = now;
    } else if (now - idle_since >= kNothingRunsMs) {
      int64_t next = -1;
      for (const Run& run : runs) {
        if (run.task == task && run.begun_ms > now && (next < 0 || run.begun_ms < next)) {
          next = run.begun_ms;
        }
      }
      return "LOST: " + task + " had no run for " +
             (next < 0 ? "the rest of the script, " + std::to_string(until - last_end)
                       : std::to_string(next - last_end)) +
             " ms after its last run ended, with room for it " + std::to_string(fits) + " times";
    }
  }
  return "";
}

// Notes the result, ends all processes and then this one: 1 if the rule was broken, 0 if it held.
[[noreturn]] inline void Finish(World* world, const std::vector<std::string>& broken) {
  for (const std::string& each : broken) {
    if (!each.empty()) world->record.Note(each);
  }
  const bool held = std::all_of(broken.begin(), broken.end(),
                                [](const std::string& each) { return each.empty(); });
  world->record.Note(held ? "the rule held" : "the rule was broken");
  world->EndAll();
  _exit(held ? 0 : 1);
}

// Ends all processes and then this one, since the case couldn't run.
[[noreturn]] inline void GiveUp(World* world, const std::string& why) {
  world->record.Note("couldn't run: " + why);
  world->EndAll();
  _exit(2);
}

inline bool Troubled() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace standin
