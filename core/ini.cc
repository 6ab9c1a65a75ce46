#include "core/ini.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <set>
#include <sstream>

#include "core/error.h"

namespace turmericshift {
namespace {

// inih truncates lines at the size of its buffer, so longer lines are rejected here.
constexpr size_t kMaxLineBytes = INI_MAX_LINE - 2;

// Passes the text to inih line by line, so that the number of the current line is known.
struct LineSource {
  std::istringstream lines;
  int line = 0;
  IniFile* file = nullptr;
  std::set<std::string> seen;
};

char* NextLine(char* buffer, int size, void* stream) {
  auto* source = static_cast<LineSource*>(stream);
  std::string text;
  if (!std::getline(source->lines, text)) return nullptr;
  ++source->line;
  if (text.size() > kMaxLineBytes || text.size() + 2 > static_cast<size_t>(size)) {
    source->file->problems.push_back(
        {source->line, "", "line longer than " + std::to_string(kMaxLineBytes) + " bytes"});
    text.clear();
  }
  // inih would ignore the rest of a line after an embedded NUL.
  if (text.find('\0') != std::string::npos) {
    source->file->problems.push_back({source->line, "", "line contains a NUL byte"});
    text.clear();
  }
  std::memcpy(buffer, text.c_str(), text.size());
  buffer[text.size()] = '\n';
  buffer[text.size() + 1] = '\0';
  return buffer;
}

// Returns the section called `name`; adds the section on its first row.
IniSection* SectionFor(const char* name, LineSource* source) {
  const std::string text = name;
  const size_t space = text.find(' ');
  const std::string kind = text.substr(0, space);
  const std::string label = space == std::string::npos ? "" : text.substr(space + 1);
  for (IniSection& section : source->file->sections) {
    if (section.kind == kind && section.label == label) return &section;
  }
  source->file->sections.push_back({kind, label, source->line, {}});
  return &source->file->sections.back();
}

int OnRow(void* user, const char* section, const char* key, const char* value) {
  auto* source = static_cast<LineSource*>(user);
  SectionFor(section, source)->rows.push_back({key, value, source->line});
  return 1;
}

std::string Place(const IniSection& section, const std::string& key) {
  std::string place = "[" + section.kind;
  if (!section.label.empty()) place += " " + section.label;
  place += "]";
  if (!key.empty()) place += " " + key;
  return place;
}

void BindRow(const IniSection& section, const IniRow& row, const std::vector<IniKey>& keys,
             IniFile* file) {
  const auto key = std::find_if(keys.begin(), keys.end(),
                                [&row](const IniKey& known) { return known.name == row.key; });
  if (key == keys.end()) {
    std::string known;
    for (const IniKey& each : keys) known += (known.empty() ? "" : ", ") + each.name;
    file->problems.push_back({row.line, Place(section, row.key), "unknown key; known: " + known});
    return;
  }
  try {
    key->assign(row.value);
  } catch (const Error& error) {
    file->problems.push_back({row.line, Place(section, row.key), error.what()});
  }
}

}  // namespace

void IniFile::ThrowIfProblems() const {
  if (problems.empty()) return;
  std::string text;
  for (const IniProblem& problem : problems) {
    if (!text.empty()) text += "\n";
    text += name + ":" + std::to_string(problem.line) + ": ";
    if (!problem.place.empty()) text += problem.place + ": ";
    text += problem.message;
  }
  throw Error(ErrorKind::kInvalidInput, text);
}

IniFile ParseIni(const std::string& name, const std::string& text) {
  IniFile file;
  file.name = name;
  if (text.size() > kMaxIniBytes) {
    file.problems.push_back({0, "", "file larger than " + std::to_string(kMaxIniBytes) + " bytes"});
    return file;
  }
  LineSource source;
  source.lines.str(text);
  source.file = &file;
  const int bad_line = ini_parse_stream(&NextLine, &source, &OnRow, &source);
  if (bad_line != 0) {
    file.problems.push_back({bad_line, "", "expected [section], key = value, or a comment"});
  }
  return file;
}

void BindSection(const IniSection& section, const std::vector<IniKey>& keys, IniFile* file) {
  std::set<std::string> seen;
  for (const IniRow& row : section.rows) {
    if (!seen.insert(row.key).second) {
      file->problems.push_back({row.line, Place(section, row.key), "given twice"});
      continue;
    }
    BindRow(section, row, keys, file);
  }
  for (const IniKey& key : keys) {
    if (!key.required || seen.count(key.name) != 0) continue;
    file->problems.push_back({section.line, Place(section, key.name), "missing"});
  }
}

void ReportUnknownSection(const IniSection& section, const std::string& known_kinds,
                          IniFile* file) {
  file->problems.push_back(
      {section.line, Place(section, ""), "unknown section; known: " + known_kinds});
}

}  // namespace turmericshift
