#include "settings_reader.h"

#include <algorithm>
#include <charconv>
#include <filesystem>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "secret_file.h"

namespace egretswitch::internal {
namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxShownBytes = 60;
constexpr size_t kMinSecretBytes = 16;
constexpr size_t kMaxSecretBytes = 1024;
constexpr std::string_view kUrlPrefix = "http://";

absl::string_view ToAbsl(std::string_view text) {
  return absl::string_view(text.data(), text.size());
}

int LineOf(const YAML::Node& node) {
  return node.Mark().line + 1;
}

std::string Quoted(std::string_view text) {
  std::string shown = absl::CHexEscape(ToAbsl(text.substr(0, kMaxShownBytes)));
  return absl::StrCat("\"", shown, text.size() > kMaxShownBytes ? "..." : "",
                      "\"");
}

const char* KindName(const YAML::Node& node) {
  switch (node.Type()) {
    case YAML::NodeType::Sequence:
      return "a list";
    case YAML::NodeType::Map:
      return "a mapping";
    case YAML::NodeType::Null:
      return "nothing";
    default:
      return "a scalar";
  }
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' ||
         c == '-';
}

// Returns the first pair with `key`. node["key"] can't be used, because it
// hides a duplicate.
std::optional<YAML::const_iterator::value_type> FindKey(const YAML::Node& node,
                                                        std::string_view key) {
  if (!node.IsMap()) {
    return std::nullopt;
  }
  for (const auto& pair : node) {
    if (pair.first.IsScalar() && pair.first.Scalar() == key) {
      return pair;
    }
  }
  return std::nullopt;
}

std::string KeyText(const YAML::Node& key) {
  return key.IsScalar() ? key.Scalar() : std::string(KindName(key));
}

std::optional<uint32_t> ParseNumber(std::string_view text) {
  uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  const bool parsed = error == std::errc() && stop == end;
  return parsed ? std::optional(value) : std::nullopt;
}

}  // namespace

void SettingsErrors::Add(int line,
                         std::string_view key,
                         std::string_view text) {
  std::string place = m_file;
  if (line > 0) {
    absl::StrAppend(&place, ":", line);
  }
  const std::string subject = key.empty() ? "" : std::string(key) + ": ";
  m_collected.push_back(
      {line, absl::StrCat("user error: ", place, ": ", subject, ToAbsl(text))});
}

void SettingsErrors::AddUnexpected(int line,
                                   std::string_view key,
                                   std::string_view found,
                                   std::string_view allowed) {
  Add(line, key,
      absl::StrCat("found ", ToAbsl(found), ", allowed ", ToAbsl(allowed)));
}

absl::Status SettingsErrors::Summary() const {
  if (m_collected.empty()) {
    return absl::OkStatus();
  }
  std::vector<Error> ordered = m_collected;
  std::stable_sort(
      ordered.begin(), ordered.end(),
      [](const Error& a, const Error& b) { return a.line < b.line; });
  return absl::InvalidArgumentError(
      absl::StrJoin(ordered, "\n", [](std::string* out, const Error& error) {
        absl::StrAppend(out, error.text);
      }));
}

MappingReader::MappingReader(const YAML::Node& node,
                             std::string_view path,
                             int line,
                             SettingsErrors* errors)
    : m_node(node),
      m_path(path),
      m_line(line),
      m_absent(!node.IsMap()),
      m_errors(errors) {
  RejectDuplicates();
}

bool MappingReader::Has(std::string_view key) const {
  return FindKey(m_node, key).has_value();
}

int MappingReader::Line(std::string_view key) const {
  const auto pair = FindKey(m_node, key);
  return pair ? LineOf(pair->first) : m_line;
}

std::string MappingReader::Path(std::string_view key) const {
  return m_path.empty() ? std::string(key)
                        : absl::StrCat(m_path, ".", ToAbsl(key));
}

MappingReader MappingReader::Section(std::string_view key, bool required) {
  m_known.emplace(key);
  const auto pair = FindKey(m_node, key);
  const YAML::Node value = pair ? pair->second : YAML::Node();
  if (pair && !value.IsMap()) {
    const std::string found =
        value.IsScalar() ? Quoted(value.Scalar()) : KindName(value);
    AddError(key, found, "a mapping of keys");
  } else if (!pair && required && !m_absent) {
    AddError(key, "nothing", "a mapping of keys");
  }
  return MappingReader(value, Path(key), Line(key), m_errors);
}

std::optional<std::string> MappingReader::Scalar(std::string_view key,
                                                 bool required,
                                                 std::string_view allowed) {
  m_known.emplace(key);
  const auto pair = FindKey(m_node, key);
  if (!pair) {
    if (required && !m_absent) {
      AddError(key, "nothing", allowed);
    }
    return std::nullopt;
  }
  if (!pair->second.IsScalar()) {
    AddError(key, KindName(pair->second), allowed);
    return std::nullopt;
  }
  return pair->second.Scalar();
}

std::string MappingReader::Text(std::string_view key,
                                std::optional<std::string_view> fallback) {
  constexpr std::string_view kAllowed = "a text that is not empty";
  const auto text = Scalar(key, !fallback, kAllowed);
  if (!text) {
    return std::string(fallback.value_or(""));
  }
  if (text->empty()) {
    AddError(key, "\"\"", kAllowed);
  }
  return *text;
}

uint32_t MappingReader::Number(std::string_view key,
                               NumberRange range,
                               std::optional<uint32_t> fallback) {
  const std::string allowed = absl::StrCat(
      "a whole number from ", range.minimum, " to ", range.maximum);
  const auto text = Scalar(key, !fallback, allowed);
  if (!text) {
    return fallback.value_or(range.minimum);
  }
  const std::optional<uint32_t> number = ParseNumber(*text);
  // yaml-cpp tags a quoted scalar with "!": it is text, not a number.
  const bool quoted = FindKey(m_node, key)->second.Tag() == "!";
  if (quoted || !number || *number < range.minimum || *number > range.maximum) {
    AddError(key, quoted ? "the text " + Quoted(*text) : Quoted(*text),
             allowed);
    return range.minimum;
  }
  return *number;
}

std::string MappingReader::Name(std::string_view key,
                                std::optional<std::string_view> fallback) {
  constexpr std::string_view kAllowed = "1 to 64 characters of a-z 0-9 _ -";
  const auto text = Scalar(key, !fallback, kAllowed);
  if (!text) {
    return std::string(fallback.value_or(""));
  }
  if (text->empty() || text->size() > kMaxNameBytes ||
      !std::all_of(text->begin(), text->end(), IsNameCharacter)) {
    AddError(key, Quoted(*text), kAllowed);
  }
  return *text;
}

IpPort MappingReader::Address(std::string_view key) {
  constexpr std::string_view kAllowed =
      "an IP number and a port, such as 127.0.0.1:8080";
  const auto text = Scalar(key, true, kAllowed);
  if (!text) {
    return {};
  }
  const std::optional<IpPort> address = ParseIpPort(*text);
  if (!address) {
    AddError(key, Quoted(*text), kAllowed);
  }
  return address.value_or(IpPort{});
}

std::string MappingReader::Url(std::string_view key) {
  constexpr std::string_view kAllowed =
      "http:// with an IP number and a port, such as http://127.0.0.1:9000";
  const auto text = Scalar(key, true, kAllowed);
  if (!text) {
    return "";
  }
  const std::string_view url = *text;
  if (!url.starts_with(kUrlPrefix) ||
      !ParseIpPort(url.substr(kUrlPrefix.size()))) {
    AddError(key, Quoted(url), kAllowed);
  }
  return *text;
}

size_t MappingReader::Choice(std::string_view key,
                             std::span<const std::string_view> choices,
                             std::optional<size_t> fallback) {
  const std::string allowed = absl::StrJoin(
      choices, " or ", [](std::string* out, std::string_view choice) {
        absl::StrAppend(out, ToAbsl(choice));
      });
  const auto text = Scalar(key, !fallback, allowed);
  if (!text) {
    return fallback.value_or(choices.size());
  }
  const auto it = std::find(choices.begin(), choices.end(), *text);
  if (it == choices.end()) {
    AddError(key, Quoted(*text), allowed);
  }
  return static_cast<size_t>(it - choices.begin());
}

std::string MappingReader::Secret(std::string_view key) {
  const std::string file_key = std::string(key) + "_file";
  const std::string allowed =
      absl::StrCat("16 to 1024 bytes here, or in the file that ", file_key,
                   " names, but not both");
  m_known.insert(file_key);
  const bool in_file = Has(file_key);
  if (in_file && Has(key)) {
    m_known.emplace(key);
    AddError(key, absl::StrCat("both ", ToAbsl(key), " and ", file_key),
             allowed);
    return "";
  }
  const auto secret =
      in_file ? SecretFromFile(file_key) : Scalar(key, true, allowed);
  if (!secret) {
    return "";
  }
  // Error messages never contain the secret itself.
  const std::string_view source_key = in_file ? file_key : key;
  if (secret->size() < kMinSecretBytes || secret->size() > kMaxSecretBytes) {
    AddError(source_key, absl::StrCat("a secret of ", secret->size(), " bytes"),
             "16 to 1024 bytes");
  } else if (!IsSecretText(*secret)) {
    AddError(source_key, "a secret with other characters",
             "printable ASCII characters without spaces");
  }
  return *secret;
}

std::optional<std::string> MappingReader::SecretFromFile(std::string_view key) {
  constexpr std::string_view kAllowed =
      "a readable file with the secret in its first line";
  const auto path = Scalar(key, true, kAllowed);
  if (!path) {
    return std::nullopt;
  }
  const auto directory = std::filesystem::path(m_errors->file()).parent_path();
  auto secret = ReadSecretFile(directory / *path);
  if (!secret) {
    AddError(key, Quoted(*path) + ", which can't be read or is empty",
             kAllowed);
  }
  return secret;
}

void MappingReader::RejectUnknownKeys() {
  if (!m_node.IsMap()) {
    return;
  }
  const std::string allowed = absl::StrJoin(m_known, ", ");
  for (const auto& pair : m_node) {
    const std::string key = KeyText(pair.first);
    if (!m_known.contains(key)) {
      m_errors->AddUnexpected(LineOf(pair.first), Path(key), "an unknown key",
                              allowed);
    }
  }
}

void MappingReader::RejectDuplicates() {
  if (!m_node.IsMap()) {
    return;
  }
  std::set<std::string> seen;
  for (const auto& pair : m_node) {
    const std::string key = KeyText(pair.first);
    if (!seen.insert(key).second) {
      m_errors->AddUnexpected(LineOf(pair.first), Path(key),
                              "the key a second time", "each key once");
    }
  }
}

void MappingReader::AddError(std::string_view key,
                             std::string_view found,
                             std::string_view allowed) {
  m_errors->AddUnexpected(Line(key), Path(key), found, allowed);
}

}  // namespace egretswitch::internal
