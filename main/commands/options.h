// Options of one subcommand, by cxxopts, with the project's errors and an example in each help.
#pragma once

#include <cxxopts.hpp>
#include <string>
#include <vector>

namespace turmericshift {

using Words = std::vector<std::string>;

class CommandOptions {
 public:
  // `name` is "job submit"; `operands` is shown in the usage line; `example` is a whole command.
  CommandOptions(const std::string& name, const std::string& summary, const std::string& operands,
                 const std::string& example);

  CommandOptions& Flag(const std::string& name, const std::string& help);
  CommandOptions& Value(const std::string& name, const std::string& help,
                        const std::string& default_value = "");

  // Reads the words. Throws Error(kInvalidInput) for an unknown or incomplete option, and when
  // the number of operands is outside [least, most].
  // Returns false after having printed the help text that the words asked for.
  bool Parse(const Words& words, size_t least, size_t most);

  bool flag(const std::string& name) const;
  std::string value(const std::string& name) const;
  const std::vector<std::string>& operands() const { return operands_; }

 private:
  const std::string usage_;
  const std::string example_;
  cxxopts::Options options_;
  cxxopts::ParseResult result_;
  std::vector<std::string> operands_;
};

// The text of a file. Throws Error(kInvalidInput) when it can't be read or is over `max_bytes`.
std::string ReadFileText(const std::string& path, size_t max_bytes = size_t{16} << 20);

// The lines of a file that are not empty. Throws as ReadFileText.
std::vector<std::string> ReadFileLines(const std::string& path);

}  // namespace turmericshift
