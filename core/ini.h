// Parses INI text into sections with line numbers and binds them to typed fields. All problems of a
// file are reported together, each with file, line, key and the expected value.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace turmericshift {

struct IniProblem {
  int line = 0;
  // "[section] key"; empty for a problem of the whole file.
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

  // If there are problems, throws an Error(kInvalidInput) that lists them, one in each line.
  void ThrowIfProblems() const;
};

inline constexpr size_t kMaxIniBytes = 1 << 20;

// Parses `text`; `name` is used in messages. Does not throw on invalid text but adds to `problems`.
IniFile ParseIni(const std::string& name, const std::string& text);

// A key that a section may contain. `assign` throws Error(kInvalidInput) for an invalid value.
struct IniKey {
  std::string name;
  bool required = false;
  std::function<void(const std::string&)> assign;
};

// Assigns the values of `section` to the fields of `keys`. Adds unknown, duplicate, missing and
// invalid keys to `file->problems`.
void BindSection(const IniSection& section, const std::vector<IniKey>& keys, IniFile* file);

// Adds a problem for a section whose kind is unknown. `known_kinds` lists the known kinds.
void ReportUnknownSection(const IniSection& section, const std::string& known_kinds, IniFile* file);

}  // namespace turmericshift
