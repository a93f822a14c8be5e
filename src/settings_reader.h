// Reads one YAML mapping key by key and collects its errors.
//
//   SettingsErrors errors("entry.yaml");
//   MappingReader callers(node, "callers", &errors);
//   IpPort listen = callers.Address("listen");
//   uint32_t max = callers.Number("max_connections", {1, 100000}, 4096);
//   callers.RejectUnknownKeys();   // after all known keys have been read
//
// After an error a reader continues with a default value, so that one pass
// finds all errors; the caller checks `errors` at the end.
#ifndef EGRETSWITCH_SRC_SETTINGS_READER_H_
#define EGRETSWITCH_SRC_SETTINGS_READER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "absl/status/status.h"
#include "ip_port.h"

namespace egretswitch::internal {

// The errors of one file.
class SettingsErrors {
 public:
  explicit SettingsErrors(std::string_view file) : m_file(file) {}

  const std::string& file() const { return m_file; }

  // `line` counts from 1; 0 means the file as a whole.
  void Add(int line, std::string_view key, std::string_view text);
  void AddUnexpected(int line,
                     std::string_view key,
                     std::string_view found,
                     std::string_view allowed);

  // Returns OK, or one "user error: " line for each error in file order.
  absl::Status Summary() const;

 private:
  struct Error {
    int line;
    std::string text;
  };
  std::string m_file;
  std::vector<Error> m_collected;
};

struct NumberRange {
  uint32_t minimum = 0;
  uint32_t maximum = 0;
};

class MappingReader {
 public:
  // `path` is the key whose value is `node`, empty for the top-level mapping.
  // Missing keys are reported at `line`.
  MappingReader(const YAML::Node& node,
                std::string_view path,
                int line,
                SettingsErrors* errors);

  bool Has(std::string_view key) const;
  int Line(std::string_view key) const;
  std::string Path(std::string_view key) const;

  // Returns the mapping under `key`. If there is none, returns an empty one,
  // and adds an error if it is required.
  MappingReader Section(std::string_view key, bool required);

  // In the functions below, the key is required if there is no fallback.
  std::string Text(std::string_view key,
                   std::optional<std::string_view> fallback = std::nullopt);
  uint32_t Number(std::string_view key,
                  NumberRange range,
                  std::optional<uint32_t> fallback = std::nullopt);
  // Accepts 1 to 64 lower-case letters, digits, '_' and '-'.
  std::string Name(std::string_view key,
                   std::optional<std::string_view> fallback = std::nullopt);
  IpPort Address(std::string_view key);
  // Accepts "http://IP:PORT".
  std::string Url(std::string_view key);
  // Returns the index of the value in `choices`.
  size_t Choice(std::string_view key,
                std::span<const std::string_view> choices,
                std::optional<size_t> fallback = std::nullopt);
  // Returns the value of `key`, or the first line of the file named by
  // `key`_file; exactly one of the two is required. Accepts 16 to 1024
  // printable characters.
  std::string Secret(std::string_view key);

  // Marks `key` as known without reading it.
  void Allow(std::string_view key) { m_known.emplace(key); }

  // Adds an error for each key that was neither read nor allowed.
  void RejectUnknownKeys();

 private:
  // Returns the scalar under `key`, or nullopt after adding an error if the key
  // is required or not a scalar.
  std::optional<std::string> Scalar(std::string_view key,
                                    bool required,
                                    std::string_view allowed);
  void AddError(std::string_view key,
                std::string_view found,
                std::string_view allowed);
  void RejectDuplicates();
  std::optional<std::string> SecretFromFile(std::string_view key);

  YAML::Node m_node;
  std::string m_path;
  int m_line;
  // No mapping here: reported already, or optional. No errors for missing keys.
  bool m_absent;
  SettingsErrors* m_errors;
  std::set<std::string, std::less<>> m_known;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SETTINGS_READER_H_
