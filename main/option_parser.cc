#include "main/option_parser.h"

namespace turmericshift {

cxxopts::ParseResult ParseOptions(cxxopts::Options* options, const Words& words,
                                  const std::string& positional) {
  options->parse_positional(positional);
  std::vector<const char*> argv = {"turmericshift"};
  for (const std::string& word : words) argv.push_back(word.c_str());
  try {
    return options->parse(static_cast<int>(argv.size()), argv.data());
  } catch (const std::exception& error) {
    throw Error(ErrorKind::kInvalidInput, error.what());
  }
}

std::vector<std::string> ListOf(const cxxopts::ParseResult& parsed, const std::string& option) {
  if (parsed.count(option) == 0) return {};
  return parsed[option].as<std::vector<std::string>>();
}

std::vector<std::string> RequireFiles(const cxxopts::ParseResult& parsed,
                                      const std::string& option) {
  std::vector<std::string> files = ListOf(parsed, option);
  if (files.empty()) throw Error(ErrorKind::kInvalidInput, "name at least one file");
  return files;
}

std::string TextOf(const cxxopts::ParseResult& parsed, const std::string& option) {
  return parsed.count(option) == 0 ? "" : parsed[option].as<std::string>();
}

}  // namespace turmericshift
