#include "core/json_shape.h"

#include <gtest/gtest.h>

namespace turmericshift {
namespace {

TEST(JsonShapeTest, CountsNestingOutsideOfTexts) {
  EXPECT_EQ(ShapeOf("").depth, 0);
  EXPECT_EQ(ShapeOf("{\"a\":[1,{}],\"b\":[]}").depth, 3);
  EXPECT_EQ(ShapeOf("{\"a\":\"[[\\\"[[\"}").depth, 1);
  EXPECT_EQ(ShapeOf("]]]][").depth, 0);
}

// A short text can have a parsed form that is many times larger.
TEST(JsonShapeTest, CountsTheMemoryOfSmallValues) {
  const std::string text(1000, 'x');
  EXPECT_LE(ShapeOf("\"" + text + "\"").parsed_bytes, 4 * text.size());
  EXPECT_GE(ShapeOf(std::string(1000, '[')).parsed_bytes, 100 * text.size());
  EXPECT_GE(ShapeOf(std::string(1000, ',')).parsed_bytes, 60 * text.size());
}

}  // namespace
}  // namespace turmericshift
