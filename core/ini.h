// INI text read into sections with line numbers, and bound to typed fields. All problems of a file
// are reported in one go, each with file, line, key and what was expected.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace turmericshift {

struct IniProblem {
  int line = 0;
  // "section / key"; empty for a problem of the whole file.
  std::string place;
  std::string message;
};

struct IniRow {
  std::string key;
  std::string value;
  int line = 0;
};

// "[workspace family-boxes]" has kind "workspace" and label "family-boxes".
struct IniSection {
  std::string kind;
  std::string label;
  int line = 0;
  std::vector<IniRow> rows;
};

struct IniFile {
  std::string name;
  std::vector<IniSection> sections;
  std::vector<IniProblem> problems;

  // Throws Error(kInvalidInput) that lists every problem, a line each, if there is any.
  void ThrowIfProblems() const;
};

inline constexpr size_t kMaxIniBytes = 1 << 20;

// Never throws on bad text; what is wrong is in `problems`.
IniFile ParseIni(const std::string& name, const std::string& text);

// One key that a section may hold. `assign` throws Error(kInvalidInput) for a bad value.
struct IniKey {
  std::string name;
  bool required = false;
  std::function<void(const std::string&)> assign;
};

// Binds the rows of `section`: unknown, duplicate, missing and bad keys go to `file->problems`.
void BindSection(const IniSection& section, const std::vector<IniKey>& keys, IniFile* file);

// Reports a section of a kind that the file may not have.
void ReportUnknownSection(const IniSection& section, const std::string& known_kinds, IniFile* file);

}  // namespace turmericshift
