// Command-line options of one subcommand. Wraps cxxopts, reports errors as Error and adds an
// example to each help text.
#pragma once

#include <memory>
#include <string>
#include <vector>

namespace turmericshift {

using Args = std::vector<std::string>;

class CommandOptions {
 public:
  // `name` is the subcommand, such as "job submit"; `operands` is shown in the usage line;
  // `example` is a complete command line.
  CommandOptions(const std::string& name, const std::string& summary, const std::string& operands,
                 const std::string& example);
  ~CommandOptions();
  CommandOptions(const CommandOptions&) = delete;
  CommandOptions& operator=(const CommandOptions&) = delete;

  CommandOptions& Flag(const std::string& name, const std::string& help);
  CommandOptions& Value(const std::string& name, const std::string& help,
                        const std::string& default_value = "");

  // Parses the arguments. Returns false if they asked for the help text, which is then printed.
  // Throws Error(kInvalidInput) for an unknown or incomplete option, and if the number of operands
  // is outside [min_operands, max_operands].
  bool Parse(const Args& args, size_t min_operands, size_t max_operands);

  bool flag(const std::string& name) const;
  std::string value(const std::string& name) const;
  const std::vector<std::string>& operands() const { return operands_; }

 private:
  const std::string usage_;
  const std::string example_;
  // Hidden here since each file that includes cxxopts compiles its regular expressions at every
  // start of the program.
  struct Parser;
  const std::unique_ptr<Parser> parser_;
  std::vector<std::string> operands_;
};

// Returns the content of a file. Throws Error(kInvalidInput) if it can't be read and
// Error(kTooLarge) if it is larger than `max_bytes`.
std::string ReadFileText(const std::string& path, size_t max_bytes = size_t{16} << 20);

// Returns the non-empty lines of a file. Throws the same errors as ReadFileText.
std::vector<std::string> ReadFileLines(const std::string& path);

}  // namespace turmericshift
