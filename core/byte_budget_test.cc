#include "core/byte_budget.h"

#include <gtest/gtest.h>

namespace turmericshift {
namespace {

TEST(ByteBudgetTest, ClaimsStayWithinTheBudgetAndAreReturned) {
  ByteBudget budget(100);
  {
    ByteClaim first(&budget);
    EXPECT_TRUE(first.GrowTo(50, 50));
    EXPECT_FALSE(first.GrowTo(51, 50));
    EXPECT_TRUE(first.GrowTo(10, 100));
    ByteClaim second(&budget);
    EXPECT_FALSE(second.GrowTo(51, 0));
    EXPECT_TRUE(second.GrowTo(50, 0));
    EXPECT_EQ(budget.taken(), 100U);
    first.Release();
    EXPECT_EQ(budget.taken(), 50U);
  }
  EXPECT_EQ(budget.taken(), 0U);
}

}  // namespace
}  // namespace turmericshift
