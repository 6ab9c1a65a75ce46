#include "servers/learned/saved_rows.h"

namespace turmericshift::learned {

void SavedRows::Add(const std::string& name, const nlohmann::json& row) {
  // The braces of the object make up for the comma.
  const size_t size = nlohmann::json{{name, row}}
                          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                          .size();
  if (bytes_ + size > max_bytes_) return;
  bytes_ += size;
  rows_[name] = row;
}

int64_t IntegerIn(const nlohmann::json& value, int64_t min, int64_t max) {
  if (!value.is_number_integer()) {
    throw Error(ErrorKind::kInvalidInput, "a value of a saved state is not an integer");
  }
  const auto number = value.get<int64_t>();
  if (number < min || number > max) {
    throw Error(ErrorKind::kInvalidInput, "a value of a saved state is out of range");
  }
  return number;
}

double NumberIn(const nlohmann::json& value, double min, double max) {
  if (!value.is_number()) {
    throw Error(ErrorKind::kInvalidInput, "a value of a saved state is not a number");
  }
  const auto number = value.get<double>();
  // The negation also rejects values that are not a number.
  if (!(number >= min && number <= max)) {
    throw Error(ErrorKind::kInvalidInput, "a value of a saved state is out of range");
  }
  return number;
}

}  // namespace turmericshift::learned
