#include "main/commands/options.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "core/error.h"

namespace turmericshift {

CommandOptions::CommandOptions(const std::string& name, const std::string& summary,
                               const std::string& operands, const std::string& example)
    : usage_("turmericshift " + name + " [OPTION…] " + operands),
      example_(example),
      options_("turmericshift " + name, summary) {
  options_.custom_help("[OPTION…]");
  options_.positional_help(operands);
  options_.add_options()("h,help", "print this help")("operands", "",
                                                      cxxopts::value<std::vector<std::string>>());
  options_.parse_positional("operands");
}

CommandOptions& CommandOptions::Flag(const std::string& name, const std::string& help) {
  options_.add_options()(name, help);
  return *this;
}

CommandOptions& CommandOptions::Value(const std::string& name, const std::string& help,
                                      const std::string& default_value) {
  options_.add_options()(name, help, cxxopts::value<std::string>()->default_value(default_value));
  return *this;
}

bool CommandOptions::Parse(const Args& args, size_t min_operands, size_t max_operands) {
  std::vector<const char*> argv = {"turmericshift"};
  for (const std::string& argument : args) argv.push_back(argument.c_str());
  try {
    result_ = options_.parse(static_cast<int>(argv.size()), argv.data());
  } catch (const cxxopts::exceptions::exception& error) {
    throw Error(ErrorKind::kInvalidInput, std::string(error.what()) + "\nusage: " + usage_);
  }
  if (result_.count("help") != 0) {
    // Leaves out the internal option that collects the operands.
    std::istringstream lines(options_.help());
    std::string line;
    while (std::getline(lines, line)) {
      if (line.find("--operands") == std::string::npos) std::printf("%s\n", line.c_str());
    }
    std::printf("\nexample:\n  %s\n", example_.c_str());
    return false;
  }
  if (result_.count("operands") != 0) {
    operands_ = result_["operands"].as<std::vector<std::string>>();
  }
  if (operands_.size() < min_operands || operands_.size() > max_operands) {
    throw Error(ErrorKind::kInvalidInput, "usage: " + usage_ + "\nexample: " + example_);
  }
  return true;
}

bool CommandOptions::flag(const std::string& name) const { return result_.count(name) != 0; }

std::string CommandOptions::value(const std::string& name) const {
  return result_[name].as<std::string>();
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
