#include "tests/stand_ins/dropping_peer.h"

#include <sys/socket.h>
#include <unistd.h>

#include "core/listen_socket.h"

namespace turmericshift {
namespace {

constexpr const char* kEndOfHeaders = "\r\n\r\n";

size_t BodyBytes(const std::string& headers) {
  const std::string name = "Content-Length: ";
  const size_t found = headers.find(name);
  return found == std::string::npos ? 0 : std::stoul(headers.substr(found + name.size()));
}

void ReadRequest(int fd) {
  std::string request;
  char byte = 0;
  while (request.find(kEndOfHeaders) == std::string::npos) {
    if (recv(fd, &byte, sizeof(byte), 0) != 1) return;
    request += byte;
  }
  for (size_t left = BodyBytes(request); left > 0; --left) {
    if (recv(fd, &byte, sizeof(byte), 0) != 1) return;
  }
}

void Answer(int fd, const std::string& answer) {
  send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
}

}  // namespace

DroppingPeer::DroppingPeer(const std::string& first, const std::string& last)
    : listener_(ListenSocket("127.0.0.1", 0)),
      port_(BoundPort(listener_)),
      thread_("peer", [this, first, last] { Serve(first, last); }) {}

DroppingPeer::~DroppingPeer() { thread_.Join(); }

void DroppingPeer::Serve(const std::string& first, const std::string& last) {
  const int kept = accept(listener_, nullptr, nullptr);
  ReadRequest(kept);
  Answer(kept, first);
  ReadRequest(kept);
  // The listening socket is closed first, so that the client can't connect in between.
  if (last.empty()) close(listener_);
  close(kept);
  if (last.empty()) return;
  const int fresh = accept(listener_, nullptr, nullptr);
  ReadRequest(fresh);
  Answer(fresh, last);
  close(fresh);
  close(listener_);
}

std::string HttpAnswer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace turmericshift
