// Helpers for parts whose saved state has one row for each queue, worker or the like.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "core/error.h"

namespace turmericshift::learned {

// Collects rows by name up to a size limit. Add the most certain rows first.
class SavedRows {
 public:
  // `max_bytes`: limit of the whole saved state as text.
  explicit SavedRows(size_t max_bytes) : max_bytes_(max_bytes) {}

  // Adds the row unless the rows would exceed the limit.
  void Add(const std::string& name, const nlohmann::json& row);
  const nlohmann::json& rows() const { return rows_; }

 private:
  const size_t max_bytes_;
  // Includes the object that holds the rows under a short name.
  size_t bytes_ = 32;
  nlohmann::json rows_ = nlohmann::json::object();
};

// Returns an integer or a number of a saved state. Throws Error(kInvalidInput) if it has another
// type or is out of range.
int64_t IntegerIn(const nlohmann::json& value, int64_t min, int64_t max);
double NumberIn(const nlohmann::json& value, double min, double max);

// Returns body(), with exceptions of the JSON library converted to Error(kInvalidInput).
template <typename Body>
auto ReadSaved(Body&& body) {
  try {
    return body();
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorKind::kInvalidInput, std::string("malformed saved state: ") + error.what());
  }
}

}  // namespace turmericshift::learned
