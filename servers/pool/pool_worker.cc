#include "servers/pool/pool_worker.h"

#include <array>

namespace turmericshift::pool {
namespace {

struct AnswerName {
  OrderAnswer answer;
  const char* name;
};

constexpr std::array<AnswerName, 11> kAnswerNames = {{
    {OrderAnswer::kAccepted, "taken"},
    {OrderAnswer::kFenced, "fenced"},
    {OrderAnswer::kStaleRun, "old"},
    {OrderAnswer::kExpired, "late"},
    {OrderAnswer::kNoRoom, "no_room"},
    {OrderAnswer::kTicketRejected, "no_ticket"},
    {OrderAnswer::kUnhealthy, "unwell"},
    {OrderAnswer::kOtherIncarnation, "other_life"},
    {OrderAnswer::kInvalid, "bad"},
    {OrderAnswer::kNotListening, "away"},
    {OrderAnswer::kUnanswered, "unanswered"},
}};

}  // namespace

const char* OrderAnswerName(OrderAnswer answer) {
  for (const AnswerName& row : kAnswerNames) {
    if (row.answer == answer) return row.name;
  }
  return "";
}

}  // namespace turmericshift::pool
