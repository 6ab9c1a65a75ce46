#include "servers/pool/pool_worker.h"

#include <array>

namespace turmericshift::pool {
namespace {

struct AnswerName {
  OrderAnswer answer;
  const char* name;
};

constexpr std::array<AnswerName, 11> kAnswerNames = {{
    {OrderAnswer::kTaken, "taken"},
    {OrderAnswer::kFenced, "fenced"},
    {OrderAnswer::kOld, "old"},
    {OrderAnswer::kLate, "late"},
    {OrderAnswer::kNoRoom, "no_room"},
    {OrderAnswer::kNoTicket, "no_ticket"},
    {OrderAnswer::kUnwell, "unwell"},
    {OrderAnswer::kOtherLife, "other_life"},
    {OrderAnswer::kBad, "bad"},
    {OrderAnswer::kAway, "away"},
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
