// Round trips of all messages between processes with arbitrary strings in every text field.
#include "rpc/text.h"

#include <capnp/dynamic.h>
#include <capnp/message.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "rpc/convert.h"
#include "rpc/pool_convert.h"

namespace turmericshift {
namespace {

// Texts that are the names of an enumerated value.
bool IsName(const std::string& field) { return field == "kind" || field == "outcome"; }

std::string BytesOf(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

// Checks that each text in `value`, at any depth, is `text`. Lists must not be empty, and a text
// that the test leaves out is a failure too, so that new fields are covered.
void ExpectTexts(const capnp::DynamicValue::Reader& value, const std::string& text,
                 const std::string& name) {
  switch (value.getType()) {
    case capnp::DynamicValue::TEXT:
      if (!IsName(name)) RC_ASSERT(Text(value.as<capnp::Text>()) == text);
      return;
    case capnp::DynamicValue::DATA:
      RC_ASSERT(BytesOf(value.as<capnp::Data>()) == text);
      return;
    case capnp::DynamicValue::LIST: {
      const auto list = value.as<capnp::DynamicList>();
      RC_ASSERT(list.size() > 0U);
      for (const auto element : list) ExpectTexts(element, text, name);
      return;
    }
    case capnp::DynamicValue::STRUCT: {
      const auto fields = value.as<capnp::DynamicStruct>();
      for (const auto field : fields.getSchema().getFields()) {
        ExpectTexts(fields.get(field), text, field.getProto().getName().cStr());
      }
      return;
    }
    default:
      return;
  }
}

// Writes the message, reads it and writes it again: both times each text must be `text`.
template <typename Wire, typename Message>
void ExpectTextsKept(const Message& message, const std::string& text) {
  capnp::MallocMessageBuilder sent;
  Write(message, sent.initRoot<Wire>());
  const auto received = sent.getRoot<Wire>().asReader();
  ExpectTexts(capnp::DynamicStruct::Reader(received), text, "");
  capnp::MallocMessageBuilder passed_on;
  Write(Read(received), passed_on.initRoot<Wire>());
  ExpectTexts(capnp::DynamicStruct::Reader(passed_on.getRoot<Wire>().asReader()), text, "");
}

std::string AnyText() {
  const auto any_byte = rc::gen::inRange<int>(0, 256);
  const std::vector<int> bytes = *rc::gen::container<std::vector<int>>(any_byte);
  return {bytes.begin(), bytes.end()};
}

EntryMember Member(const std::string& text) { return {text, text, text}; }

pool::RunId Run(const std::string& text) { return {{text, 0, 0, 0}, 1}; }

// A start carried its specification and its checkpoint up to their first zero character only.
RC_GTEST_PROP(Text, OrdersKeepAllCharacters, ()) {
  const std::string text = AnyText();
  pool::AgentOrders orders;
  orders.starts = {{Run(text), text, text, text}};
  orders.stops = {Run(text)};
  orders.planner_address = text;
  ExpectTextsKept<wire::PoolOrders>(orders, text);
}

// The same on the way of a checkpoint to the planner.
RC_GTEST_PROP(Text, ReportsKeepAllCharacters, ()) {
  const std::string text = AnyText();
  pool::AgentReport report;
  report.node = report.zone = report.incarnation = text;
  report.worker.id = report.worker.service = report.worker.machine = text;
  report.worker.rack = report.worker.version = text;
  report.worker.labels = {text, text};
  report.running = {{Run(text), text, 0}};
  report.ended = {{1, Run(text), pool::EndKind::kDone, text}};
  report.results = {{Run(text), pool::StartOutcome::kRefused, text}};
  ExpectTextsKept<wire::PoolReport>(report, text);
}

// The same for a gang's payload and checkpoint.
RC_GTEST_PROP(Text, GangMessagesKeepAllCharacters, ()) {
  const std::string text = AnyText();
  GangReserve reserve;
  reserve.job = reserve.workspace = text;
  reserve.tasks.resize(1);
  ExpectTextsKept<wire::GangReserve>(reserve, text);
  GangStart start;
  start.job = start.payload = start.checkpoint = text;
  ExpectTextsKept<wire::GangStart>(start, text);
  GangAction action;
  action.job = text;
  ExpectTextsKept<wire::GangAction>(action, text);
}

// A target would handle another request than the caller's.
RC_GTEST_PROP(Text, RequestsKeepAllCharacters, ()) {
  const std::string text = AnyText();
  ServiceRequest request;
  request.request_id = request.workspace = request.service = request.path = text;
  request.content_type = request.body = request.body_digest = text;
  request.idempotency_key = request.incarnation = text;
  ExpectTextsKept<wire::ServiceRequest>(request, text);
  ServiceAnswer answer;
  answer.request_id = answer.content_type = answer.body = answer.body_digest = text;
  ExpectTextsKept<wire::ServiceAnswer>(answer, text);
  RequestStatusQuery query;
  query.workspace = query.idempotency_key = query.request_id = query.incarnation = text;
  ExpectTextsKept<wire::SeenQuestion>(query, text);
  RequestStatusReply reply;
  reply.answer = answer;
  ExpectTextsKept<wire::SeenAnswer>(reply, text);
}

// Processes would know each other, and their configuration, by other texts.
RC_GTEST_PROP(Text, HeartbeatsKeepAllCharacters, ()) {
  const std::string text = AnyText();
  AgentHello hello;
  hello.process = hello.incarnation = hello.zone = hello.rack = hello.service = text;
  ExpectTextsKept<wire::AgentHello>(hello, text);
  AgentHeartbeat heartbeat;
  heartbeat.tasks.resize(1);
  heartbeat.tasks[0].id.job = heartbeat.tasks[0].checkpoint = heartbeat.tasks[0].workspace = text;
  heartbeat.observed.resize(1);
  heartbeat.observed[0].entry = Member(text);
  ExpectTextsKept<wire::AgentBeat>(heartbeat, text);
  HeartbeatReply reply;
  reply.config_text = reply.planner_address = reply.environment = reply.config_digest = text;
  reply.entries = {text};
  reply.self = Member(text);
  reply.members = {Member(text)};
  ExpectTextsKept<wire::EntryBeat>(reply, text);
}

}  // namespace
}  // namespace turmericshift
