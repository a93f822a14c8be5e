#include "record_codec.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

// Describe() lists the fields of each struct once. FieldWriter and FieldReader
// below use it to encode and to decode.

namespace egretswitch::internal {
namespace {

using Json = nlohmann::json;

template <typename Fields>
void Describe(EntryJoined& record, Fields& fields) {
  fields("name", record.name);
  fields("incarnation", record.incarnation);
  fields("address", record.address);
  fields("data_centre", record.data_centre);
  fields("region", record.region);
}

template <typename Fields>
void Describe(EntryLeft& record, Fields& fields) {
  fields("name", record.name);
  fields("incarnation", record.incarnation);
}

template <typename Fields>
void Describe(SlotRegistered& record, Fields& fields) {
  fields("name", record.name);
  fields("address", record.address);
  fields("data_centre", record.data_centre);
  fields("region", record.region);
}

template <typename Fields>
void Describe(SlotRemoved& record, Fields& fields) {
  fields("name", record.name);
}

template <typename Fields>
void Describe(EntryId& id, Fields& fields) {
  fields("name", id.name);
  fields("incarnation", id.incarnation);
}

template <typename Fields>
void Describe(ShardClaim& claim, Fields& fields) {
  fields("shard", claim.shard);
  fields("expected_epoch", claim.expected_epoch);
}

template <typename Fields>
void Describe(ShardsClaimed& record, Fields& fields) {
  fields("owner", record.owner);
  fields("claims", record.claims);
}

template <typename Fields>
void Describe(ServedShard& served, Fields& fields) {
  fields("shard", served.shard);
  fields("epoch", served.epoch);
}

template <typename Fields>
void Describe(ShardsServed& record, Fields& fields) {
  fields("shards", record.shards);
}

template <typename Fields>
void Describe(TableRow& row, Fields& fields) {
  fields("kind", row.kind);
  fields("weight", row.weight);
  fields("max_running", row.max_running);
  fields("max_queued", row.max_queued);
  fields("team_rate", row.team_rate);
  fields("retry_percent", row.retry_percent);
  fields("prefer_response", row.prefer_response);
}

template <typename Fields>
void Describe(RowEdited& record, Fields& fields) {
  fields("edit_id", record.edit_id);
  fields("editor", record.editor);
  fields("expected_version", record.expected_version);
  fields("deleted", record.deleted);
  fields("row", record.row);
}

template <typename Fields>
void Describe(ShardState& state, Fields& fields) {
  fields("epoch", state.epoch);
  fields("owner", state.owner);
  fields("former_owners", state.former_owners);
}

template <typename Fields>
void Describe(EntryState& state, Fields& fields) {
  fields("joined", state.joined);
  fields("joined_offset", state.joined_offset);
}

template <typename Fields>
void Describe(RowState& state, Fields& fields) {
  fields("row", state.row);
  fields("version", state.version);
  fields("deleted", state.deleted);
}

template <typename Fields>
void Describe(Snapshot& record, Fields& fields) {
  fields("next_offset", record.next_offset);
  fields("shards", record.shards);
  fields("entries", record.entries);
  fields("slots", record.slots);
  fields("rows", record.rows);
  fields("table_version", record.table_version);
  fields.Optional("former_entries", record.former_entries);
}

template <typename Fields>
void Describe(Unreadable& record, Fields& fields) {
  fields("reason", record.reason);
}

template <typename Fields>
void Describe(EntryAlive& record, Fields& fields) {
  fields("entry", record.entry);
}

const char* TypeName(const EntryJoined&) {
  return "entry_joined";
}
const char* TypeName(const EntryLeft&) {
  return "entry_left";
}
const char* TypeName(const SlotRegistered&) {
  return "slot_registered";
}
const char* TypeName(const SlotRemoved&) {
  return "slot_removed";
}
const char* TypeName(const ShardsClaimed&) {
  return "shards_claimed";
}
const char* TypeName(const ShardsServed&) {
  return "shards_served";
}
const char* TypeName(const RowEdited&) {
  return "row_edited";
}
const char* TypeName(const Snapshot&) {
  return "snapshot";
}
const char* TypeName(const Unreadable&) {
  return "unreadable";
}
const char* TypeName(const EntryAlive&) {
  return "entry_alive";
}

// Writes the described fields to a JSON object.
class FieldWriter {
 public:
  explicit FieldWriter(Json& object) : m_object(object) {}

  template <typename Value>
  void operator()(const char* name, Value& value) {
    m_object[name] = ToJson(value);
  }

  template <typename Value>
  void Optional(const char* name, Value& value) {
    (*this)(name, value);
  }

 private:
  static Json ToJson(std::string& value) { return value; }
  static Json ToJson(bool& value) { return value; }
  static Json ToJson(uint32_t& value) { return value; }
  static Json ToJson(uint64_t& value) { return value; }

  template <typename Item>
  static Json ToJson(std::vector<Item>& items) {
    Json array = Json::array();
    for (Item& item : items) {
      array.push_back(ToJson(item));
    }
    return array;
  }

  template <typename Struct>
  static Json ToJson(Struct& value) {
    Json object = Json::object();
    FieldWriter fields(object);
    Describe(value, fields);
    return object;
  }

  Json& m_object;
};

// Reads the described fields from a JSON object and stops at the first error.
class FieldReader {
 public:
  // `path` is the path of the object, "" for the record itself.
  FieldReader(const Json& object, std::string path)
      : m_object(object), m_path(std::move(path)) {}

  template <typename Value>
  void operator()(const char* name, Value& value) {
    if (!m_status.ok()) {
      return;
    }
    ++m_field_count;
    const std::string path = PathOf(name);
    const auto it = m_object.find(name);
    if (it == m_object.end()) {
      m_status = FieldError(path, "missing");
      return;
    }
    m_status = Read(*it, path, value);
    m_read_names.push_back(name);
  }

  // Reads a field that records of an earlier version don't have.
  template <typename Value>
  void Optional(const char* name, Value& value) {
    if (m_object.contains(name)) {
      (*this)(name, value);
    }
  }

  // Returns the first error. Unknown fields of the object are an error too.
  absl::Status Finish() const {
    if (!m_status.ok() || m_object.size() == m_field_count) {
      return m_status;
    }
    for (const auto& [name, value] : m_object.items()) {
      if (std::find(m_read_names.begin(), m_read_names.end(), name) ==
          m_read_names.end()) {
        return FieldError(PathOf(name), "unknown");
      }
    }
    return m_status;
  }

 private:
  static absl::Status FieldError(const std::string& path,
                                 const std::string& fault) {
    return absl::InvalidArgumentError(
        absl::StrCat("field ", path, ": ", fault));
  }

  static absl::Status WrongType(const std::string& path,
                                const Json& found,
                                const char* allowed) {
    return FieldError(
        path, absl::StrCat("found ", found.type_name(), ", allowed ", allowed));
  }

  static absl::Status Read(const Json& json,
                           const std::string& path,
                           std::string& value) {
    if (!json.is_string()) {
      return WrongType(path, json, "string");
    }
    value = json.get<std::string>();
    return absl::OkStatus();
  }

  static absl::Status Read(const Json& json,
                           const std::string& path,
                           bool& value) {
    if (!json.is_boolean()) {
      return WrongType(path, json, "boolean");
    }
    value = json.get<bool>();
    return absl::OkStatus();
  }

  static absl::Status Read(const Json& json,
                           const std::string& path,
                           uint64_t& value) {
    return ReadUnsigned(json, path, value);
  }

  static absl::Status Read(const Json& json,
                           const std::string& path,
                           uint32_t& value) {
    return ReadUnsigned(json, path, value);
  }

  // nlohmann::json converts between number types without a check, so a value
  // out of range would wrap around.
  template <typename Unsigned>
  static absl::Status ReadUnsigned(const Json& json,
                                   const std::string& path,
                                   Unsigned& value) {
    constexpr uint64_t kMax = std::numeric_limits<Unsigned>::max();
    if (!json.is_number()) {
      return WrongType(path, json, "number");
    }
    if (!json.is_number_unsigned() || json.get<uint64_t>() > kMax) {
      return FieldError(
          path, absl::StrCat("found ", json.dump(), ", allowed 0 to ", kMax));
    }
    value = json.get<Unsigned>();
    return absl::OkStatus();
  }

  template <typename Item>
  static absl::Status Read(const Json& json,
                           const std::string& path,
                           std::vector<Item>& items) {
    if (!json.is_array()) {
      return WrongType(path, json, "array");
    }
    for (size_t i = 0; i < json.size(); ++i) {
      items.emplace_back();
      const absl::Status status =
          Read(json[i], absl::StrCat(path, "[", i, "]"), items.back());
      if (!status.ok()) {
        return status;
      }
    }
    return absl::OkStatus();
  }

  template <typename Struct>
  static absl::Status Read(const Json& json,
                           const std::string& path,
                           Struct& value) {
    if (!json.is_object()) {
      return WrongType(path, json, "object");
    }
    FieldReader fields(json, path);
    Describe(value, fields);
    return fields.Finish();
  }

  std::string PathOf(const std::string& name) const {
    return m_path.empty() ? name : absl::StrCat(m_path, ".", name);
  }

  const Json& m_object;
  const std::string m_path;
  absl::Status m_status;
  size_t m_field_count = 0;
  std::vector<std::string> m_read_names;
};

// Decodes `json` into `record` if `type` is the name of Body; otherwise returns
// false.
template <typename Body>
bool DecodeAs(const Json& json,
              const std::string& type,
              LogRecord& record,
              absl::Status& status) {
  Body body;
  if (type != TypeName(body)) {
    return false;
  }
  FieldReader fields(json, "");
  std::string decoded_type;
  fields("append_id", record.append_id);
  fields("type", decoded_type);
  Describe(body, fields);
  status = fields.Finish();
  record.body = std::move(body);
  return true;
}

template <typename... Bodies>
absl::Status DecodeBody(const Json& json,
                        const std::string& type,
                        LogRecord& record,
                        std::variant<Bodies...>*) {
  absl::Status status;
  if ((DecodeAs<Bodies>(json, type, record, status) || ...)) {
    return status;
  }
  return absl::InvalidArgumentError(
      absl::StrCat("field type: unknown type \"", type, "\""));
}

}  // namespace

std::string EncodeRecord(const LogRecord& record) {
  Json json = Json::object();
  json["append_id"] = record.append_id;
  RecordBody body = record.body;
  std::visit(
      [&json](auto& alternative) {
        json["type"] = TypeName(alternative);
        FieldWriter fields(json);
        Describe(alternative, fields);
      },
      body);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<LogRecord> DecodeRecord(std::string_view text) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return absl::InvalidArgumentError("record is not a JSON object");
  }
  const auto type = json.find("type");
  if (type == json.end() || !type->is_string()) {
    return absl::InvalidArgumentError("field type: missing or not a string");
  }
  LogRecord record;
  const absl::Status status = DecodeBody(json, type->get<std::string>(), record,
                                         static_cast<RecordBody*>(nullptr));
  if (!status.ok()) {
    return status;
  }
  return record;
}

}  // namespace egretswitch::internal
