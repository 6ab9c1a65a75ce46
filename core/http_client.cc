#include "core/http_client.h"

#include <curl/curl.h>
#include <strings.h>

#include <algorithm>
#include <memory>
#include <mutex>

#include "core/error.h"

namespace turmericshift {

// A transfer that Cancel can interrupt while it waits for the network.
class CancellableTransfer {
 public:
  explicit CancellableTransfer(HttpCanceller* canceller)
      : canceller_(canceller), multi_(curl_multi_init()) {
    if (multi_ == nullptr) throw Error(ErrorKind::kInternal, "libcurl could not create a transfer");
    const std::lock_guard<std::mutex> lock(canceller_->mutex_);
    canceller_->transfer_ = multi_;
  }
  ~CancellableTransfer() {
    {
      const std::lock_guard<std::mutex> lock(canceller_->mutex_);
      canceller_->transfer_ = nullptr;
    }
    curl_multi_cleanup(multi_);
  }
  CancellableTransfer(const CancellableTransfer&) = delete;
  CancellableTransfer& operator=(const CancellableTransfer&) = delete;

  CURLcode Perform(CURL* handle) {
    // libcurl returns earlier when one of its own timeouts expires.
    constexpr int kMaxPollMs = 1000;
    curl_multi_add_handle(multi_, handle);
    int running = 1;
    while (running > 0 && !canceller_->cancelled()) {
      curl_multi_perform(multi_, &running);
      if (running > 0) curl_multi_poll(multi_, nullptr, 0, kMaxPollMs, nullptr);
    }
    int left = 0;
    const CURLMsg* end = curl_multi_info_read(multi_, &left);
    const CURLcode code = end == nullptr ? CURLE_ABORTED_BY_CALLBACK : end->data.result;
    curl_multi_remove_handle(multi_, handle);
    return code;
  }

 private:
  HttpCanceller* const canceller_;
  CURLM* const multi_;
};

namespace {

struct HandleDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

struct Receiver {
  HttpReply reply;
  size_t max_bytes = 0;
  bool too_large = false;
  // How often libcurl has begun to send the request.
  int times_sent = 0;
};

CURL* ThreadHandle() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
  thread_local std::unique_ptr<CURL, HandleDeleter> handle(curl_easy_init());
  if (!handle) throw Error(ErrorKind::kInternal, "libcurl could not create a handle");
  curl_easy_reset(handle.get());
  return handle.get();
}

// Returns at least 1, as libcurl takes 0 for no limit.
long WholeMillis(Duration duration) {  // NOLINT(google-runtime-int): the library's type
  const auto millis = duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<long>(std::max<int64_t>(1, millis));  // NOLINT(google-runtime-int)
}

size_t OnBody(char* bytes, size_t size, size_t count, void* user) {
  auto* receiver = static_cast<Receiver*>(user);
  if (receiver->reply.body.size() + size * count > receiver->max_bytes) {
    receiver->too_large = true;
    return 0;
  }
  receiver->reply.body.append(bytes, size * count);
  return size * count;
}

// Called on each connection on which the request is about to be sent.
int OnSend(void* user, char* /*peer_address*/, char* /*own_address*/, int /*peer_port*/,
           int /*own_port*/) {
  ++static_cast<Receiver*>(user)->times_sent;
  return CURL_PREREQFUNC_OK;
}

curl_socket_t OnOpen(void* user, curlsocktype /*purpose*/, curl_sockaddr* /*address*/) {
  const int fd = static_cast<SocketOpener*>(user)->Open();
  return fd < 0 ? CURL_SOCKET_BAD : fd;
}

size_t OnHeader(char* bytes, size_t size, size_t count, void* user) {
  auto* receiver = static_cast<Receiver*>(user);
  const std::string line(bytes, size * count);
  const size_t colon = line.find(':');
  if (colon == std::string::npos) return size * count;
  const size_t start = line.find_first_not_of(" \t", colon + 1);
  const size_t end = line.find_last_not_of(" \t\r\n");
  if (start != std::string::npos && end >= start) {
    receiver->reply.headers.push_back({line.substr(0, colon), line.substr(start, end - start + 1)});
  }
  return size * count;
}

[[noreturn]] void ThrowFor(CURLcode code, const HttpCall& call, const Receiver& receiver) {
  const std::string what = call.method + " " + call.url + ": " + curl_easy_strerror(code);
  const bool sent = receiver.times_sent > 0;
  if (receiver.too_large) throw Error(ErrorKind::kAnswerCut, what + " (answer too large)");
  switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      if (sent) throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown, what);
      throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, what);
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      throw Error(ErrorKind::kInvalidInput, what);
    case CURLE_OPERATION_TIMEDOUT:
      throw Error(ErrorKind::kDeadlineExceeded, sent ? Outcome::kUnknown : Outcome::kNotRun, what);
    case CURLE_ABORTED_BY_CALLBACK:
      throw Error(ErrorKind::kCancelled, Outcome::kUnknown, what);
    case CURLE_PARTIAL_FILE:
      throw Error(ErrorKind::kAnswerCut, Outcome::kUnknown, what);
    default:
      throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown, what);
  }
}

HttpReply Perform(const HttpCall& call, HttpCanceller* canceller) {
  CURL* handle = ThreadHandle();
  Receiver receiver;
  receiver.max_bytes = call.max_answer_bytes;
  curl_slist* raw_list = nullptr;
  for (const HttpHeader& header : call.headers) {
    raw_list = curl_slist_append(raw_list, (header.name + ": " + header.value).c_str());
  }
  // Without this empty header, libcurl delays a body of over 1 KiB by a second to wait for a
  // "100 Continue", which few servers send.
  raw_list = curl_slist_append(raw_list, "Expect:");
  const std::unique_ptr<curl_slist, ListDeleter> list(raw_list);
  const long timeout_ms = WholeMillis(call.timeout);                                // NOLINT
  const long connect_ms = std::min(timeout_ms, WholeMillis(call.connect_timeout));  // NOLINT
  curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list.get());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.fresh_connection ? 1L : 0L);
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &receiver);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &receiver);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &OnSend);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, &receiver);
  if (call.opener != nullptr) {
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &OnOpen);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, call.opener);
  }
  if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
  }
  const CURLcode code = canceller == nullptr ? curl_easy_perform(handle)
                                             : CancellableTransfer(canceller).Perform(handle);
  if (code != CURLE_OK) ThrowFor(code, call, receiver);
  long status = 0;  // NOLINT(google-runtime-int): the library's type
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  receiver.reply.status = static_cast<int>(status);
  receiver.reply.resent = receiver.times_sent > 1;
  return std::move(receiver.reply);
}

}  // namespace

std::string HttpReply::header(const std::string& name) const {
  for (const HttpHeader& each : headers) {
    if (strcasecmp(each.name.c_str(), name.c_str()) == 0) return each.value;
  }
  return "";
}

void HttpCanceller::Cancel() {
  const std::lock_guard<std::mutex> lock(mutex_);
  cancelled_ = true;
  if (transfer_ != nullptr) curl_multi_wakeup(transfer_);
}

bool HttpCanceller::cancelled() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return cancelled_;
}

HttpReply PerformHttp(const HttpCall& call) { return Perform(call, nullptr); }

HttpReply PerformHttp(const HttpCall& call, HttpCanceller* canceller) {
  return Perform(call, canceller);
}

}  // namespace turmericshift
