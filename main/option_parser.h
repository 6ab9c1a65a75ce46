// Command-line options of a subcommand, through cxxopts, with this project's errors.
#pragma once

#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "main/commands.h"

namespace turmericshift {

// Parses the words after the subcommand's name; words without a dash go to the list option
// `positional`. Throws Error(kInvalidInput).
cxxopts::ParseResult ParseOptions(cxxopts::Options* options, const Words& words,
                                  const std::string& positional);

// The words of a list option; empty if none was given.
std::vector<std::string> ListOf(const cxxopts::ParseResult& parsed, const std::string& option);

// The same, but at least one. Throws Error(kInvalidInput) otherwise.
std::vector<std::string> RequireFiles(const cxxopts::ParseResult& parsed,
                                      const std::string& option);

// The option's text; "" if it was not given.
std::string TextOf(const cxxopts::ParseResult& parsed, const std::string& option);

}  // namespace turmericshift
