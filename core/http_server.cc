#include "core/http_server.h"

#include <fcntl.h>
#include <linux/filter.h>
#include <linux/tcp.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <condition_variable>
#include <cstdint>
#include <cstring>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <system_error>
#include <thread>
#include <utility>

#include "core/listen_socket.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

// Time that open connections get to send a request after the server has begun to stop.
constexpr Duration kRequestGracePeriod = std::chrono::seconds(1);
// Time for handshakes that began before the filter for new handshakes was set; enough within a
// region. A caller whose first SYN is dropped in this time retries a second later and is then
// refused, so the period is kept short.
constexpr Duration kHandshakeGracePeriod = std::chrono::milliseconds(1);

// A body over the limit is read to its end, so that its sender sees the answer, if no more than
// this is left of it.
constexpr size_t kMaxDroppedBytes = size_t{64} << 10;
// This part of the connections is kept free for new ones.
constexpr size_t kFreeConnectionsPart = 8;
constexpr Duration kRefusalRetryAfter = std::chrono::seconds(1);
constexpr Duration kRefusalLogInterval = std::chrono::seconds(10);

// Attaches a packet filter to the listening socket that drops SYN packets, which open a connection.
// Handshakes in progress can complete. Returns whether the system accepted the filter.
bool DropNewHandshakes(int listener) {
  constexpr uint32_t kFlagsOffset = 13;  // of the TCP header
  constexpr uint32_t kSyn = 0x02;
  constexpr uint32_t kSynAndAck = 0x12;
  constexpr uint32_t kAcceptWholePacket = UINT32_MAX;
  std::array<sock_filter, 5> program = {{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
                                         BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynAndAck),
                                         BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
                                         BPF_STMT(BPF_RET | BPF_K, 0),
                                         BPF_STMT(BPF_RET | BPF_K, kAcceptWholePacket)}};
  const sock_fprog filter{static_cast<uint16_t>(program.size()), program.data()};
  return setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) == 0;
}

// Number of bytes that the system has received on the connection, whether they were read or not; 0
// if the connection has ended.
uint64_t ReceivedBytes(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  return info.tcpi_bytes_received;
}

uint64_t UnreadBytes(int fd) {
  int unread = 0;
  if (ioctl(fd, FIONREAD, &unread) != 0) return 0;
  return static_cast<uint64_t>(unread);
}

// State of the request that a connection is receiving or answering.
struct Exchange {
  explicit Exchange(ByteBudget* budget) : claim(budget) {}

  HttpRequest request;
  ByteClaim claim;
  Time start{};
  // Why the request is not handed to the handler.
  std::optional<Error> refusal;
  size_t dropped_bytes = 0;
  bool counted = false;
};

// Counts refusals of one kind, and logs them now and then: their number is up to the clients.
class RefusalLog {
 public:
  RefusalLog(std::string event, Counter* counter) : event_(std::move(event)), counter_(counter) {}

  void Record(Time now) {
    if (counter_ != nullptr) counter_->Add();
    const std::lock_guard<std::mutex> lock(mutex_);
    ++unlogged_;
    if (logged_at_ && now - *logged_at_ < kRefusalLogInterval) return;
    LogEvent(LogLevel::kWarning, event_, {{"count", unlogged_}});
    logged_at_ = now;
    unlogged_ = 0;
  }

 private:
  const std::string event_;
  Counter* const counter_;
  std::mutex mutex_;
  std::optional<Time> logged_at_;
  int64_t unlogged_ = 0;
};

// Returns the announced length of a body; 0 if none is announced, SIZE_MAX if it is no size.
size_t AnnouncedBytes(const HttpRequest& request) {
  const std::string text = request.header("Content-Length");
  if (text.empty()) return 0;
  size_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  return error == std::errc() && end == text.data() + text.size() ? length : SIZE_MAX;
}

MHD_Result AppendValue(void* user, MHD_ValueKind /*kind*/, const char* key, const char* value) {
  auto* list = static_cast<std::vector<HttpHeader>*>(user);
  list->push_back({key, value == nullptr ? "" : value});
  return MHD_YES;
}

// Decodes a path, or the name or value of an argument, in place. The library passes the result on
// as a C string, so text with an escaped zero character stays as it is: it would end there.
size_t Unescape(void* /*user*/, MHD_Connection* /*connection*/, char* text) {
  if (std::strstr(text, "%00") != nullptr) return std::strlen(text);
  return MHD_http_unescape(text);
}

MHD_Result Send(MHD_Connection* connection, const HttpResponse& response, bool close) {
  MHD_Response* raw = MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
  if (raw == nullptr) return MHD_NO;
  for (const HttpHeader& header : response.headers) {
    MHD_add_response_header(raw, header.name.c_str(), header.value.c_str());
  }
  if (close) MHD_add_response_header(raw, "Connection", "close");
  const MHD_Result result =
      MHD_queue_response(connection, static_cast<unsigned>(response.status), raw);
  MHD_destroy_response(raw);
  return result;
}

int DescriptorOf(MHD_Connection* connection) {
  return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

// Answers a request in the middle of its body, which the library can't. The connection must be
// closed then.
void SendBare(int fd, int status) {
  const std::string answer = "HTTP/1.1 " + std::to_string(status) + " " +
                             MHD_get_reason_phrase_for(static_cast<unsigned>(status)) +
                             "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  // A failed call leaves the client with a closed connection, as if it had been refused.
  (void)send(fd, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

std::string Find(const std::vector<HttpHeader>& list, const std::string& name) {
  for (const HttpHeader& each : list) {
    if (strcasecmp(each.name.c_str(), name.c_str()) == 0) return each.value;
  }
  return "";
}

}  // namespace

struct HttpServer::State {
  HttpServerOptions options;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  // The listening socket after StopAccepting. The daemon's threads may use the descriptor until the
  // daemon is stopped, so the descriptor is closed after that.
  MHD_socket retired_listener = MHD_INVALID_SOCKET;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::condition_variable drained;
  int in_flight = 0;
  // Open connections: descriptor, and number of bytes received up to the end of the last request.
  // The library closes a descriptor only after it has reported the end of the connection.
  std::map<int, uint64_t> answered_bytes;
  // Open connections without a complete request, and since when.
  std::map<int, Time> waiting_since;
  // Open connections that were shut down to free their places.
  std::set<int> evicted;
  // Descriptors of connections that AddToDaemon passed on and that the daemon has not started yet.
  std::set<int> not_started;
  std::optional<RefusalLog> too_large;
  std::optional<RefusalLog> over_budget;
  std::optional<RefusalLog> evictions;

  HttpResponse Answer(Exchange* exchange) {
    try {
      if (!exchange->refusal) ClaimForHandling(exchange);
      if (exchange->refusal) return AnswerRefusal(*exchange);
      HttpResponse response = handler(exchange->request);
      FreeBody(exchange);
      return response;
    } catch (const Error& error) {
      return ProblemResponse(error, "");
    } catch (const std::exception& error) {
      LogEvent(LogLevel::kError, "handler_failed", {{"error", error.what()}});
      return ProblemResponse(Error(ErrorKind::kInternal, "internal error"), "");
    }
  }

  HttpResponse AnswerRefusal(const Exchange& exchange) const {
    const Error& refusal = *exchange.refusal;
    if (refusal.kind() == ErrorKind::kTooLarge) return ProblemResponse(refusal, "");
    if (options.may_have_run && options.may_have_run(exchange.request)) {
      return ProblemResponse(Error(ErrorKind::kDeadlineExceeded, Outcome::kUnknown, refusal.what()),
                             "");
    }
    return ProblemResponse(refusal, "", kRefusalRetryAfter);
  }

  void EndRequest(int fd) {
    const std::lock_guard<std::mutex> lock(mutex);
    --in_flight;
    // Unread bytes belong to the next request. Bytes that arrive between the two calls must count
    // as unread, so the total is taken first.
    const uint64_t received = ReceivedBytes(fd);
    const uint64_t unread = UnreadBytes(fd);
    const auto connection = answered_bytes.find(fd);
    if (connection != answered_bytes.end()) {
      connection->second = received - std::min(received, unread);
      if (!evicted.contains(fd)) waiting_since[fd] = DefaultClock().Now();
    }
    drained.notify_all();
  }

  // Begins to answer a complete request. Returns false if its connection was shut down meanwhile.
  bool EndWait(int fd) {
    const std::lock_guard<std::mutex> lock(mutex);
    waiting_since.erase(fd);
    return !evicted.contains(fd);
  }

  // Shuts down the connections that have waited longest for a complete request if too few places
  // are left. Requires `mutex`.
  void FreePlaces() {
    const auto places = static_cast<size_t>(options.max_connections);
    const size_t most = places - places / kFreeConnectionsPart;
    while (answered_bytes.size() - evicted.size() > most && !waiting_since.empty()) {
      const auto longest =
          std::min_element(waiting_since.begin(), waiting_since.end(),
                           [](const auto& a, const auto& b) { return a.second < b.second; });
      shutdown(longest->first, SHUT_RDWR);
      evicted.insert(longest->first);
      waiting_since.erase(longest);
      evictions->Record(DefaultClock().Now());
    }
  }

  // Whether a request, or the first part of one, has arrived that has not been answered. The thread
  // of its connection may not have read it yet. Requires `mutex`.
  bool HasUnansweredRequest() const {
    if (in_flight > 0 || !not_started.empty()) return true;
    return std::any_of(answered_bytes.begin(), answered_bytes.end(), [](const auto& connection) {
      return ReceivedBytes(connection.first) > connection.second;
    });
  }

  // Ends the open connections, so that requests sent from now on are not read. Requires `mutex`.
  void ShutDownConnections() const {
    for (const auto& [fd, answered] : answered_bytes) shutdown(fd, SHUT_RDWR);
  }

  static void FreeBody(Exchange* exchange) {
    std::string().swap(exchange->request.body);
    exchange->claim.Release();
  }

  // Frees what has been received of the body; the request is answered with `error`.
  static void Refuse(const Error& error, RefusalLog* log, Exchange* exchange) {
    FreeBody(exchange);
    if (exchange->refusal) return;
    exchange->refusal = error;
    log->Record(DefaultClock().Now());
  }

  void RefuseTooLarge(Exchange* exchange) {
    Refuse(Error(ErrorKind::kTooLarge, "the body is too large"), &*too_large, exchange);
  }

  // Takes memory for a request that needs `bytes` in all, of which the budget keeps `left` for
  // others. Refuses the request if the budget does not have it.
  void Claim(size_t bytes, size_t left, Exchange* exchange) {
    const size_t counted = bytes - std::min(bytes, options.uncounted_bytes);
    if (exchange->claim.GrowTo(counted, left)) return;
    Refuse(Error(ErrorKind::kUnavailable, "too many requests are being received"), &*over_budget,
           exchange);
  }

  // Bodies that are being received may take half of the budget, so that complete ones are handled.
  void ClaimForReceiving(size_t bytes, Exchange* exchange) {
    if (options.body_budget == nullptr) return;
    Claim(bytes, options.body_budget->bytes() / 2, exchange);
  }

  void ClaimForHandling(Exchange* exchange) {
    const std::string& body = exchange->request.body;
    if (options.body_budget == nullptr || !options.handling_bytes || body.empty()) return;
    const size_t bytes = body.size() + options.handling_bytes(body);
    if (bytes > options.body_budget->bytes()) {
      RefuseTooLarge(exchange);
    } else {
      Claim(bytes, 0, exchange);
    }
  }

  // Decides about a request whose headers have arrived. Returns whether the body is to be read.
  bool BeginBody(Exchange* exchange) {
    const size_t announced = AnnouncedBytes(exchange->request);
    if (announced > options.max_body_bytes) {
      RefuseTooLarge(exchange);
    } else {
      ClaimForReceiving(announced, exchange);
    }
    if (exchange->refusal) return announced <= kMaxDroppedBytes;
    exchange->request.body.reserve(announced);
    return true;
  }

  // Takes a part of a body. Returns whether the rest is to be read.
  bool TakeBody(const char* data, size_t bytes, Exchange* exchange) {
    std::string& body = exchange->request.body;
    const size_t size = body.size() + bytes;
    if (!exchange->refusal && size > options.max_body_bytes) RefuseTooLarge(exchange);
    // A body without an announced length doubles its capacity while it grows.
    if (!exchange->refusal && size > body.capacity()) ClaimForReceiving(2 * size, exchange);
    if (!exchange->refusal) {
      body.append(data, bytes);
      return true;
    }
    exchange->dropped_bytes += bytes;
    return exchange->dropped_bytes <= kMaxDroppedBytes;
  }

  static MHD_Result OnAccess(void* self, MHD_Connection* connection, const char* url,
                             const char* method, const char* /*version*/, const char* data,
                             size_t* data_size, void** user) {
    auto* state = static_cast<State*>(self);
    auto* exchange = static_cast<Exchange*>(*user);
    if (exchange == nullptr) {
      exchange = new Exchange(state->options.body_budget);  // freed by OnCompleted
      *user = exchange;
      exchange->start = DefaultClock().Now();
      exchange->request.method = method;
      exchange->request.path = url;
      MHD_get_connection_values(connection, MHD_HEADER_KIND, &AppendValue,
                                &exchange->request.headers);
      MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AppendValue,
                                &exchange->request.query);
      {
        const std::lock_guard<std::mutex> lock(state->mutex);
        ++state->in_flight;
        exchange->counted = true;
      }
      if (state->BeginBody(exchange)) return MHD_YES;
      if (!state->EndWait(DescriptorOf(connection))) return MHD_NO;
      return Send(connection, state->Answer(exchange), true);
    }
    if (*data_size > 0) {
      if (DefaultClock().Now() - exchange->start > state->options.receive_timeout) return MHD_NO;
      if (!state->TakeBody(data, *data_size, exchange)) {
        SendBare(DescriptorOf(connection), state->AnswerRefusal(*exchange).status);
        return MHD_NO;
      }
      *data_size = 0;
      return MHD_YES;
    }
    if (!state->EndWait(DescriptorOf(connection))) return MHD_NO;
    return Send(connection, state->Answer(exchange), state->stopping.load());
  }

  static void OnConnection(void* self, MHD_Connection* connection, void** /*context*/,
                           MHD_ConnectionNotificationCode code) {
    auto* state = static_cast<State*>(self);
    const int fd = DescriptorOf(connection);
    const std::lock_guard<std::mutex> lock(state->mutex);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      state->answered_bytes[fd] = 0;
      state->waiting_since[fd] = DefaultClock().Now();
      state->not_started.erase(fd);
      state->FreePlaces();
    } else {
      state->answered_bytes.erase(fd);
      state->waiting_since.erase(fd);
      state->evicted.erase(fd);
    }
    state->drained.notify_all();
  }

  // Accepts the connections in the listening socket's queue. Closing the socket would reset them,
  // and a caller that has already sent a request would get no response.
  void AcceptQueued(MHD_socket listener) {
    while (true) {
      sockaddr_in address{};
      socklen_t size = sizeof(address);
      const int fd = accept4(listener, reinterpret_cast<sockaddr*>(&address), &size,
                             SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (fd < 0 && (errno == EINTR || errno == ECONNABORTED)) continue;
      if (fd < 0) return;
      if (AddToDaemon(fd, address)) continue;
      LogEvent(LogLevel::kWarning, "connection_not_taken",
               {{"reason", "connection limit reached"}});
    }
  }

  // Passes a connection to the daemon, which starts it later on its own thread. Returns whether the
  // daemon has taken it; if not, the connection is closed.
  bool AddToDaemon(int fd, const sockaddr_in& address) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      not_started.insert(fd);
    }
    const auto* peer = reinterpret_cast<const sockaddr*>(&address);
    if (MHD_add_connection(daemon, fd, peer, sizeof(address)) == MHD_YES) return true;
    // On failure the library has already closed the descriptor.
    const std::lock_guard<std::mutex> lock(mutex);
    not_started.erase(fd);
    return false;
  }

  // Makes Drain wait until the daemon has announced every connection that it has accepted itself.
  // The daemon's thread starts one connection after the other, so an empty one that is added now is
  // started after those.
  void AddLastConnection() {
    std::array<int, 2> ends{};
    const bool added =
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0, ends.data()) == 0 &&
        AddToDaemon(ends[0], {});
    if (!added) {
      LogEvent(LogLevel::kWarning, "accepted_connections_not_awaited",
               {{"reason", "no descriptor left or connection limit reached"}});
    }
    if (ends[1] != 0) close(ends[1]);
  }

  static void OnCompleted(void* self, MHD_Connection* connection, void** user,
                          MHD_RequestTerminationCode /*code*/) {
    const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*user));
    *user = nullptr;
    if (!exchange || !exchange->counted) return;
    static_cast<State*>(self)->EndRequest(DescriptorOf(connection));
  }
};

std::string HttpRequest::header(const std::string& name) const { return Find(headers, name); }
std::string HttpRequest::argument(const std::string& name) const { return Find(query, name); }

HttpResponse ProblemResponse(const Error& error, const std::string& request_id,
                             Duration retry_after) {
  const ErrorInfo& answer = ErrorInfoFor(error.kind());
  nlohmann::json body = {{"type", std::string("urn:turmericshift:error:") + answer.name},
                         {"title", answer.name},
                         {"status", answer.http_status},
                         {"detail", error.what()},
                         {"outcome", OutcomeName(error.outcome())},
                         {"retryable", answer.retryable},
                         {"advice", answer.advice}};
  if (!request_id.empty()) body["request_id"] = request_id;
  HttpResponse response;
  response.status = answer.http_status;
  response.headers.push_back({"Content-Type", "application/problem+json"});
  if (retry_after > Duration::zero()) {
    body["retry_after_ms"] = duration_cast<std::chrono::milliseconds>(retry_after).count();
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

HttpResponse JsonResponse(const std::string& json, int status) {
  return {status, json, {{"Content-Type", "application/json"}}};
}

HttpServer::HttpServer(const HttpServerOptions& options, Handler handler)
    : state_(std::make_unique<State>()) {
  state_->options = options;
  state_->handler = std::move(handler);
  const auto counter = [&](const char* name) {
    return options.metrics == nullptr ? nullptr : &options.metrics->counter(name);
  };
  state_->too_large.emplace("bodies_too_large", counter("http_bodies_too_large"));
  state_->over_budget.emplace("bodies_over_budget", counter("http_bodies_over_budget"));
  state_->evictions.emplace("connections_evicted", counter("http_connections_evicted"));
  const int listener = ListenSocket(options.address, options.port);
  const unsigned flags =
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
  state_->daemon = MHD_start_daemon(
      flags, 0, nullptr, nullptr, &State::OnAccess, state_.get(), MHD_OPTION_LISTEN_SOCKET,
      listener, MHD_OPTION_NOTIFY_COMPLETED, &State::OnCompleted, state_.get(),
      MHD_OPTION_NOTIFY_CONNECTION, &State::OnConnection, state_.get(), MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned>(options.max_connections), MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(options.idle_timeout.count()), MHD_OPTION_THREAD_STACK_SIZE,
      options.stack_bytes, MHD_OPTION_UNESCAPE_CALLBACK, &Unescape, nullptr, MHD_OPTION_END);
  if (state_->daemon == nullptr) {
    close(listener);
    throw Error(ErrorKind::kUnavailable, "libmicrohttpd could not start the HTTP server");
  }
  port_ = BoundPort(listener);
}

HttpServer::~HttpServer() {
  MHD_stop_daemon(state_->daemon);
  if (state_->retired_listener != MHD_INVALID_SOCKET) close(state_->retired_listener);
}

int HttpServer::in_flight() const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  return state_->in_flight;
}

void HttpServer::CloseAfterAnswers() { state_->stopping.store(true); }

void HttpServer::StopAccepting() {
  CloseAfterAnswers();
  const MHD_socket listener = MHD_quiesce_daemon(state_->daemon);
  if (listener == MHD_INVALID_SOCKET) return;
  state_->retired_listener = listener;
  fcntl(listener, F_SETFL, fcntl(listener, F_GETFL) | O_NONBLOCK);
  if (DropNewHandshakes(listener)) {
    state_->AcceptQueued(listener);
    std::this_thread::sleep_for(kHandshakeGracePeriod);
  }
  state_->AcceptQueued(listener);
  state_->AddLastConnection();
  // close() would take effect only when the daemon's thread returns from poll, and connections that
  // arrive until then would be reset, so the socket is shut down instead.
  if (shutdown(listener, SHUT_RDWR) != 0) {
    LogEvent(LogLevel::kWarning, "listener_not_shut_down",
             {{"port", port_}, {"error", std::generic_category().message(errno)}});
  }
}

bool HttpServer::Drain(Duration limit) {
  const Time until = DefaultClock().Now() + limit;
  std::unique_lock<std::mutex> lock(state_->mutex);
  state_->drained.wait_until(lock, until, [this] { return state_->not_started.empty(); });
  state_->drained.wait_for(lock, std::min(limit, kRequestGracePeriod),
                           [this] { return state_->answered_bytes.empty(); });
  const bool drained =
      state_->drained.wait_until(lock, until, [this] { return !state_->HasUnansweredRequest(); });
  if (drained) state_->ShutDownConnections();
  return drained;
}

}  // namespace turmericshift
