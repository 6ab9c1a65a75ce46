#include "main/commands/options.h"

#include <array>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <sstream>

#include "core/error.h"

namespace turmericshift {

struct CommandOptions::Parser {
  cxxopts::Options options;
  cxxopts::ParseResult result;
};

CommandOptions::CommandOptions(const std::string& name, const std::string& summary,
                               const std::string& operands, const std::string& example)
    : usage_("turmericshift " + name + " [OPTION…] " + operands),
      example_(example),
      parser_(new Parser{cxxopts::Options("turmericshift " + name, summary), {}}) {
  parser_->options.custom_help("[OPTION…]");
  parser_->options.positional_help(operands);
  parser_->options.add_options()("h,help", "print this help")(
      "operands", "", cxxopts::value<std::vector<std::string>>());
  parser_->options.parse_positional("operands");
}

CommandOptions::~CommandOptions() = default;

CommandOptions& CommandOptions::Flag(const std::string& name, const std::string& help) {
  parser_->options.add_options()(name, help);
  return *this;
}

CommandOptions& CommandOptions::Value(const std::string& name, const std::string& help,
                                      const std::string& default_value) {
  parser_->options.add_options()(name, help,
                                 cxxopts::value<std::string>()->default_value(default_value));
  return *this;
}

bool CommandOptions::Parse(const Args& args, size_t min_operands, size_t max_operands) {
  std::vector<const char*> argv = {"turmericshift"};
  for (const std::string& argument : args) argv.push_back(argument.c_str());
  try {
    parser_->result = parser_->options.parse(static_cast<int>(argv.size()), argv.data());
  } catch (const cxxopts::exceptions::exception& error) {
    throw Error(ErrorKind::kInvalidInput, std::string(error.what()) + "\nusage: " + usage_);
  }
  if (parser_->result.count("help") != 0) {
    // Leaves out the internal option that collects the operands.
    std::istringstream lines(parser_->options.help());
    std::string line;
    while (std::getline(lines, line)) {
      if (line.find("--operands") == std::string::npos) std::printf("%s\n", line.c_str());
    }
    std::printf("\nexample:\n  %s\n", example_.c_str());
    return false;
  }
  if (parser_->result.count("operands") != 0) {
    operands_ = parser_->result["operands"].as<std::vector<std::string>>();
  }
  if (operands_.size() < min_operands || operands_.size() > max_operands) {
    throw Error(ErrorKind::kInvalidInput, "usage: " + usage_ + "\nexample: " + example_);
  }
  return true;
}

bool CommandOptions::flag(const std::string& name) const {
  return parser_->result.count(name) != 0;
}

std::string CommandOptions::value(const std::string& name) const {
  return parser_->result[name].as<std::string>();
}

std::string ReadFileText(const std::string& path, size_t max_bytes) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw Error(ErrorKind::kInvalidInput, "can't read " + path);
  // Reads in small chunks. A single buffer of max_bytes would stay in the process's heap for its
  // lifetime: 16 MB in each agent.
  std::string text;
  std::array<char, 4096> piece{};
  while (file.read(piece.data(), piece.size()) || file.gcount() > 0) {
    text.append(piece.data(), static_cast<size_t>(file.gcount()));
    if (text.size() > max_bytes) throw Error(ErrorKind::kTooLarge, path + " is too large");
  }
  return text;
}

std::vector<std::string> ReadFileLines(const std::string& path) {
  std::istringstream text(ReadFileText(path));
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(text, line)) {
    if (!line.empty()) lines.push_back(line);
  }
  return lines;
}

}  // namespace turmericshift
