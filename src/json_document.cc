#include "json_document.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace egretswitch::internal {
namespace {

using nlohmann::json;

constexpr size_t kDescribedBytes = 40;

// Builds the document from the parser's events. The library's own builder has
// no bound on depth or values and keeps the last of repeated keys; a repeated
// key could mean one thing to a proxy in front of us and another to us.
class DocumentBuilder : public nlohmann::json_sax<json> {
 public:
  explicit DocumentBuilder(const JsonLimits& limits) : m_limits(limits) {}

  bool null() override { return Place(json()) != nullptr; }
  bool boolean(bool value) override { return Place(value) != nullptr; }
  bool number_integer(number_integer_t value) override {
    return Place(value) != nullptr;
  }
  bool number_unsigned(number_unsigned_t value) override {
    return Place(value) != nullptr;
  }
  bool number_float(number_float_t value, const string_t&) override {
    return Place(value) != nullptr;
  }
  bool string(string_t& value) override {
    return Place(std::move(value)) != nullptr;
  }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return Open(json::object()); }
  bool start_array(std::size_t) override { return Open(json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    const auto [slot, inserted] = m_open.back()->emplace(name, nullptr);
    if (!inserted) {
      return Refuse(absl::StrCat(name, ": found twice, allowed: once"));
    }
    m_slot = &*slot;
    return true;
  }

  bool parse_error(std::size_t position,
                   const std::string&,
                   const nlohmann::detail::exception& error) override {
    std::string_view what = error.what();
    // "[json.exception.parse_error.101] parse error at line 1, ...": the code
    // in brackets says nothing to a caller.
    what.remove_prefix(std::min(what.size(), what.find("] ") + 2));
    return Refuse(absl::StrCat("not valid JSON at byte ", position, ": ",
                               std::string(what)));
  }

  absl::StatusOr<json> Take() {
    if (!m_status.ok()) {
      return m_status;
    }
    return std::move(m_root);
  }

 private:
  // Puts `value` where the parser stands; null when a bound is exceeded.
  json* Place(json value) {
    if (++m_values > m_limits.values) {
      Refuse(absl::StrCat("found more than ", m_limits.values,
                          " JSON values, allowed: ", m_limits.values));
      return nullptr;
    }
    if (m_open.empty()) {
      m_root = std::move(value);
      return &m_root;
    }
    json& parent = *m_open.back();
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return &parent.back();
    }
    *m_slot = std::move(value);
    return m_slot;
  }

  bool Open(json value) {
    if (m_open.size() >= m_limits.depth) {
      return Refuse(absl::StrCat("found JSON nested deeper than ",
                                 m_limits.depth,
                                 " levels, allowed: ", m_limits.depth));
    }
    json* placed = Place(std::move(value));
    if (placed == nullptr) {
      return false;
    }
    m_open.push_back(placed);
    return true;
  }

  bool Close() {
    m_open.pop_back();
    return true;
  }

  bool Refuse(std::string_view message) {
    if (m_status.ok()) {
      m_status = absl::InvalidArgumentError(
          absl::string_view(message.data(), message.size()));
    }
    return false;
  }

  const JsonLimits m_limits;
  json m_root;
  // Open arrays and objects, outermost first. A pointer stays valid while it
  // is here: only the innermost container grows.
  std::vector<json*> m_open;
  json* m_slot = nullptr;  // value of the key read last
  uint32_t m_values = 0;
  absl::Status m_status;
};

// Length of the UTF-8 sequence that `lead` begins, 0 if it begins none.
size_t SequenceLength(unsigned char lead) {
  if (lead < 0x80) {
    return 1;
  }
  if (lead >= 0xC2 && lead <= 0xDF) {
    return 2;
  }
  if (lead >= 0xE0 && lead <= 0xEF) {
    return 3;
  }
  return lead >= 0xF0 && lead <= 0xF4 ? 4 : 0;
}

// Code point at the front of `text`, or -1 when it is not valid UTF-8.
int32_t DecodeFront(std::string_view text, size_t length) {
  static constexpr int32_t kLeast[] = {0, 0, 0x80, 0x800, 0x10000};
  if (length == 0 || length > text.size()) {
    return -1;
  }
  const auto lead = static_cast<unsigned char>(text[0]);
  int32_t point = length == 1 ? lead : lead & (0x7F >> length);
  for (size_t i = 1; i < length; ++i) {
    const auto byte = static_cast<unsigned char>(text[i]);
    if ((byte & 0xC0) != 0x80) {
      return -1;
    }
    point = (point << 6) | (byte & 0x3F);
  }
  const bool surrogate = point >= 0xD800 && point <= 0xDFFF;
  return point < kLeast[length] || point > 0x10FFFF || surrogate ? -1 : point;
}

}  // namespace

absl::StatusOr<json> ParseJson(std::string_view text,
                               const JsonLimits& limits) {
  DocumentBuilder builder(limits);
  json::sax_parse(text.begin(), text.end(), &builder);
  return builder.Take();
}

bool IsPrintableUtf8(std::string_view text) {
  while (!text.empty()) {
    const size_t length = SequenceLength(static_cast<unsigned char>(text[0]));
    const int32_t point = DecodeFront(text, length);
    if (point < 0x20 || (point >= 0x7F && point < 0xA0)) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

std::string DescribeJson(const json& value) {
  if (value.is_object()) {
    return "an object";
  }
  if (value.is_array()) {
    return absl::StrCat("an array of ", value.size());
  }
  if (value.is_string() &&
      value.get_ref<const std::string&>().size() > kDescribedBytes) {
    return absl::StrCat("text of ", value.get_ref<const std::string&>().size(),
                        " bytes");
  }
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

JsonObjectReader::JsonObjectReader(const json& value, std::string path)
    : m_value(value), m_path(std::move(path)) {
  if (!value.is_object()) {
    const std::string subject = m_path.empty() ? "document" : m_path;
    m_status = absl::InvalidArgumentError(absl::StrCat(
        subject, ": found ", DescribeJson(value), ", allowed: an object"));
  }
}

std::string JsonObjectReader::PathOf(std::string_view name) const {
  std::string path = m_path;
  if (!path.empty()) {
    path += '.';
  }
  path += name;
  return path;
}

void JsonObjectReader::Fail(std::string_view name,
                            std::string_view found,
                            std::string_view allowed) {
  Merge(absl::InvalidArgumentError(
      absl::StrCat(PathOf(name), ": found ", std::string(found),
                   ", allowed: ", std::string(allowed))));
}

void JsonObjectReader::Merge(const absl::Status& status) {
  if (m_status.ok()) {
    m_status = status;
  }
}

const json* JsonObjectReader::Find(std::string_view name, bool required) {
  if (!m_value.is_object()) {
    return nullptr;
  }
  m_known.push_back(name);
  const auto it = m_value.find(name);
  if (it != m_value.end()) {
    ++m_found;
    return &*it;
  }
  if (required) {
    Fail(name, "nothing", "this field is required");
  }
  return nullptr;
}

int64_t JsonObjectReader::Integer(std::string_view name,
                                  IntegerRange range,
                                  std::optional<int64_t> fallback) {
  const json* value = Find(name, !fallback.has_value());
  if (value == nullptr) {
    return fallback.value_or(range.least);
  }
  // An unsigned value above the signed range would read as a negative one.
  const bool fits =
      value->is_number_integer() &&
      (!value->is_number_unsigned() ||
       value->get<uint64_t>() <= static_cast<uint64_t>(range.most)) &&
      value->get<int64_t>() >= range.least &&
      value->get<int64_t>() <= range.most;
  if (fits) {
    return value->get<int64_t>();
  }
  Fail(name, DescribeJson(*value),
       absl::StrCat("an integer from ", range.least, " to ", range.most));
  return fallback.value_or(range.least);
}

bool JsonObjectReader::Boolean(std::string_view name,
                               std::optional<bool> fallback) {
  const json* value = Find(name, !fallback.has_value());
  if (value != nullptr && value->is_boolean()) {
    return value->get<bool>();
  }
  if (value != nullptr) {
    Fail(name, DescribeJson(*value), "true or false");
  }
  return fallback.value_or(false);
}

std::string JsonObjectReader::PrintableText(std::string_view name,
                                            size_t least,
                                            size_t most) {
  const json* value = Find(name, true);
  if (value == nullptr) {
    return {};
  }
  if (value->is_string()) {
    const auto& text = value->get_ref<const std::string&>();
    if (text.size() >= least && text.size() <= most && IsPrintableUtf8(text)) {
      return text;
    }
  }
  Fail(name, DescribeJson(*value),
       absl::StrCat("printable text of ", least, " to ", most, " bytes"));
  return {};
}

absl::Status JsonObjectReader::Finish() {
  if (!m_status.ok() || m_found == m_value.size()) {
    return m_status;
  }
  for (const auto& item : m_value.items()) {
    if (std::find(m_known.begin(), m_known.end(), item.key()) ==
        m_known.end()) {
      const json name = item.key();
      Fail(name.get_ref<const std::string&>().size() > kDescribedBytes
               ? std::string_view("(long name)")
               : std::string_view(item.key()),
           "an unknown field",
           absl::StrJoin(m_known, ", ",
                         [](std::string* out, std::string_view known) {
                           out->append(known);
                         }));
      break;
    }
  }
  return m_status;
}

}  // namespace egretswitch::internal
