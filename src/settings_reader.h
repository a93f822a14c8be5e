// Reads one YAML mapping key by key and collects what is wrong with it.
//
//   SettingsErrors errors("entry.yaml");
//   MappingReader callers(node, "callers", &errors);
//   IpPort listen = callers.Address("listen");
//   uint32_t most = callers.Number("max_connections", {1, 100000}, 4096);
//   callers.RejectUnknownKeys();   // after all known keys have been read
//
// A reader goes on after a fault with a default value, so that one pass finds
// all faults; the caller looks at `errors` in the end.
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

// The faults of one file.
class SettingsErrors {
 public:
  explicit SettingsErrors(std::string_view file) : m_file(file) {}

  const std::string& file() const { return m_file; }

  // `line` counts from 1; 0 stands for the file as a whole.
  void Add(int line, std::string_view key, std::string_view text);
  void AddUnexpected(int line,
                     std::string_view key,
                     std::string_view found,
                     std::string_view allowed);

  // OK, or one "user error: " line for each fault in the order of the file.
  absl::Status Summary() const;

 private:
  struct Fault {
    int line;
    std::string text;
  };
  std::string m_file;
  std::vector<Fault> m_faults;
};

struct NumberRange {
  uint32_t minimum = 0;
  uint32_t maximum = 0;
};

class MappingReader {
 public:
  // `path` is the key that `node` is the value of, empty for the whole file.
  // `line` is where a missing key is reported.
  MappingReader(const YAML::Node& node,
                std::string_view path,
                int line,
                SettingsErrors* errors);

  bool Has(std::string_view key) const;
  int Line(std::string_view key) const;
  std::string Path(std::string_view key) const;

  // The mapping under `key`; an empty one, and a fault, when there is none.
  MappingReader Section(std::string_view key, bool required);

  // Without a fallback the key is required.
  std::string Text(std::string_view key,
                   std::optional<std::string_view> fallback = std::nullopt);
  uint32_t Number(std::string_view key,
                  NumberRange range,
                  std::optional<uint32_t> fallback = std::nullopt);
  // Lower-case letters, digits, '_' and '-', 1 to 64 of them.
  std::string Name(std::string_view key,
                   std::optional<std::string_view> fallback = std::nullopt);
  IpPort Address(std::string_view key);
  // "http://IP:PORT".
  std::string Url(std::string_view key);
  // The index of the value in `choices`.
  size_t Choice(std::string_view key,
                std::span<const std::string_view> choices,
                std::optional<size_t> fallback = std::nullopt);
  // The value of `key`, or the first line of the file that `key`_file names;
  // exactly one of them is required. 16 to 1024 printable characters.
  std::string Secret(std::string_view key);

  // Takes `key` as known without reading it.
  void Allow(std::string_view key) { m_known.emplace(key); }

  // Reports each key that was neither asked for nor allowed.
  void RejectUnknownKeys();

 private:
  // The scalar under `key`, or nullopt after reporting why there is none.
  std::optional<std::string> Scalar(std::string_view key,
                                    bool required,
                                    std::string_view allowed);
  void Fault(std::string_view key,
             std::string_view found,
             std::string_view allowed);
  void RefuseDuplicates();
  std::optional<std::string> SecretFromFile(std::string_view key);

  YAML::Node m_node;
  std::string m_path;
  int m_line;
  bool m_absent;  // already reported, or optional: its keys aren't missed
  SettingsErrors* m_errors;
  std::set<std::string, std::less<>> m_known;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_SETTINGS_READER_H_
