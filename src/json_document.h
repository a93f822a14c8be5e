// Reads JSON text from outside into a document of bounded depth and size, and
// its objects field by field, so that every error names the field, what was
// found and what is allowed:
//
//   {"id": 7}           -> "id: found 7, allowed: text of 1 to 128 bytes"
//   {"tasks": [{"x":1}] -> "tasks[0].x: unknown field, allowed: payload, ..."
#ifndef EGRETSWITCH_SRC_JSON_DOCUMENT_H_
#define EGRETSWITCH_SRC_JSON_DOCUMENT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace egretswitch::internal {

// Bounds of a document. Each value costs some tens of bytes of memory however
// short its text is, so the number of values is bounded too.
struct JsonLimits {
  uint32_t depth = 16;
  uint32_t values = 200'000;
};

// Parses the whole of `text`; repeated keys, trailing text, invalid UTF-8 and
// anything beyond `limits` are errors.
absl::StatusOr<nlohmann::json> ParseJson(std::string_view text,
                                         const JsonLimits& limits);

// True when `text` is valid UTF-8 without control characters.
bool IsPrintableUtf8(std::string_view text);

// A short rendering of `value` for error messages.
std::string DescribeJson(const nlohmann::json& value);

// Allowed values of an integer field, both ends included.
struct IntegerRange {
  int64_t least = 0;
  int64_t most = 0;
};

// Reads one object. The first error sticks; afterwards fields read as their
// defaults, and Finish() returns that error or names an unknown field.
class JsonObjectReader {
 public:
  // `path` names the object in errors; empty for the whole document.
  JsonObjectReader(const nlohmann::json& value, std::string path);

  // A missing field is an error when there is no `fallback`.
  int64_t Integer(std::string_view name,
                  IntegerRange range,
                  std::optional<int64_t> fallback = std::nullopt);
  bool Boolean(std::string_view name,
               std::optional<bool> fallback = std::nullopt);

  // Printable UTF-8 text of `least` to `most` bytes.
  std::string PrintableText(std::string_view name, size_t least, size_t most);

  // The field's value, or null when it is missing, which is an error if
  // `required`.
  const nlohmann::json* Find(std::string_view name, bool required);

  // Records an error at `name`.
  void Fail(std::string_view name,
            std::string_view found,
            std::string_view allowed);
  // Takes over an error of a nested object.
  void Merge(const absl::Status& status);

  // The first error so far, for objects that may have fields unknown here.
  const absl::Status& status() const { return m_status; }

  std::string PathOf(std::string_view name) const;
  absl::Status Finish();

 private:
  const nlohmann::json& m_value;
  std::string m_path;
  std::vector<std::string_view> m_known;
  size_t m_found = 0;
  absl::Status m_status;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_JSON_DOCUMENT_H_
