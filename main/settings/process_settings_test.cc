#include "main/settings/process_settings.h"

#include <gtest/gtest.h>

#include "core/error.h"
#include "main/commands/options.h"

namespace turmericshift {
namespace {

std::string ProblemsOf(const std::string& text) {
  try {
    ParseEntrySettings("entry.ini", text);
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kInvalidInput);
    return error.what();
  }
  return "";
}

TEST(ProcessSettingsTest, ExamplesAreRead) {
  const EntrySettings entry =
      ParseEntrySettings("entry.ini", ReadFileText("examples/settings/entry.ini"));
  EXPECT_EQ(entry.callers.port, 8080);
  EXPECT_EQ(entry.max_body_bytes, int64_t{16} << 20);
  const AgentSettings agent =
      ParseAgentSettings("agent.ini", ReadFileText("examples/settings/agent.ini"));
  EXPECT_EQ(agent.entries, std::vector<std::string>{"127.0.0.1:8082"});
  EXPECT_EQ(agent.worker.memory_bytes, int64_t{128} << 30);
}

// An operator mistypes several keys at once and should not have to start the process once for each.
TEST(ProcessSettingsTest, AllProblemsOfAFileAreReportedAtOnce) {
  std::string text = ReadFileText("examples/settings/entry.ini");
  text.replace(text.find("stop_limit = 60s"), 16, "stop_limit = 60");
  text.replace(text.find("port = 8080"), 11, "port = 80800");
  text += "max_body = 1MiB\nmax_bodies = 3\n[extra]\nkey = 1\n";
  const std::string problems = ProblemsOf(text);
  EXPECT_NE(problems.find("entry.ini:7: [process] stop_limit: '60' is not a duration"),
            std::string::npos)
      << problems;
  EXPECT_NE(problems.find("[callers] port: '80800' is not a whole number"), std::string::npos);
  EXPECT_NE(problems.find("[limits] max_body: given twice"), std::string::npos);
  EXPECT_NE(problems.find("[limits] max_bodies: unknown key; known: max_body"), std::string::npos);
  EXPECT_NE(problems.find("[extra]: unknown section"), std::string::npos);
}

TEST(ProcessSettingsTest, MissingSectionsAreNamed) {
  const std::string problems = ProblemsOf("[process]\nname = a\n");
  EXPECT_NE(problems.find("[process] availability_zone: missing"), std::string::npos);
  EXPECT_NE(problems.find("[log]: section is missing"), std::string::npos);
}

}  // namespace
}  // namespace turmericshift
