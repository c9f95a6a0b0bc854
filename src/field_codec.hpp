// Converts structs to JSON values and back. Encoder and decoder share one list of fields per struct, so that they cannot differ.
#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include "plantainpoint/clock.hpp"
#include "plantainpoint/config.hpp"
#include "plantainpoint/failure.hpp"
#include "plantainpoint/ids.hpp"

namespace plantainpoint {

// Form of byte strings: CBOR has a type for them, JSON text has none.
enum class bytes_form : std::uint8_t {
    Binary,
    Base64,
};

inline constexpr std::size_t maxTextBytes = 4096;
inline constexpr std::size_t maxListItems = 200'000;
// Keeps sums of two amounts and products with the number of VMs far below overflow.
inline constexpr std::int64_t maxAmount = 1'000'000'000'000'000;
inline constexpr duration maxDuration = std::chrono::hours(24 * 365);

// Number of enumerators, whose values start at 0 and have no gaps.
template<class Enum>
inline constexpr std::size_t enumeratorCount = 0;
template<>
inline constexpr std::size_t enumeratorCount<route_kind> = 3;
template<>
inline constexpr std::size_t enumeratorCount<route_access> = 2;
template<>
inline constexpr std::size_t enumeratorCount<urgency> = 2;
template<>
inline constexpr std::size_t enumeratorCount<endpoint_role> = 3;
template<>
inline constexpr std::size_t enumeratorCount<endpoint_condition> = 2;
template<>
inline constexpr std::size_t enumeratorCount<outcome> = 3;
template<>
inline constexpr std::size_t enumeratorCount<failure> = failureTable.size();

// Matches Entity and const Entity, so that one describe() serves both the decoder and the encoder.
template<class T, class Entity>
concept entity = std::same_as<std::remove_const_t<T>, Entity>;

// Types that toString() writes as text.
template<class T>
concept string_encoded = std::same_as<T, incarnation_id> || std::same_as<T, request_label> || std::same_as<T, attempt_label> || std::same_as<T, record_id>;

template<class T>
inline constexpr bool isVector = false;
template<class T>
inline constexpr bool isVector<std::vector<T>> = true;

template<class T>
inline constexpr bool isOptional = false;
template<class T>
inline constexpr bool isOptional<std::optional<T>> = true;

template<class T>
inline constexpr bool isEntityName = false;
template<class Tag>
inline constexpr bool isEntityName<entity_name<Tag>> = true;

// Builds a JSON object from the fields that describe() lists.
class field_writer
{
public:
    explicit field_writer(bytes_form form)
        : m_form(form)
        , m_out(nlohmann::json::object())
    {
    }

    template<class T>
    void field(const char *name, const T &value)
    {
        m_out[name] = valueOf(value, m_form);
    }

    template<class T>
    void range(const char *name, const T &value, std::int64_t, std::int64_t)
    {
        field(name, value);
    }

    // Writes an elapsed time, which is never negative.
    void age(const char *name, const duration &value) { m_out[name] = std::clamp(value, duration{0}, maxDuration).count(); }
    void age(const char *name, const std::optional<duration> &value)
    {
        if (value) {
            age(name, *value);
        }
    }
    void text(const char *name, const std::string &value, std::size_t) { m_out[name] = value; }
    void bytes(const char *name, const std::string &value, std::size_t) { m_out[name] = bytesOf(value); }

    nlohmann::json take() { return std::move(m_out); }

    template<class T>
    static nlohmann::json valueOf(const T &value, bytes_form form)
    {
        if constexpr (isEntityName<T>) {
            return value.value;
        } else if constexpr (string_encoded<T>) {
            return toString(value);
        } else if constexpr (std::same_as<T, key_digest>) {
            return toHex(value);
        } else if constexpr (std::same_as<T, std::chrono::milliseconds>) {
            return value.count();
        } else if constexpr (std::same_as<T, duration>) {
            return std::clamp(value, -maxDuration, maxDuration).count();
        } else if constexpr (std::is_enum_v<T>) {
            return std::string{nameOf(value)};
        } else if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string>) {
            return value;
        } else if constexpr (isOptional<T>) {
            return value ? valueOf(*value, form) : nlohmann::json(nullptr);
        } else if constexpr (isVector<T>) {
            auto list = nlohmann::json::array();
            for (const auto &item : value) {
                list.push_back(valueOf(item, form));
            }
            return list;
        } else {
            field_writer writer(form);
            describe(writer, value);
            return writer.take();
        }
    }

private:
    nlohmann::json bytesOf(const std::string &value) const
    {
        if (m_form == bytes_form::Binary) {
            return nlohmann::json::binary({value.begin(), value.end()});
        }
        return std::string{absl::Base64Escape(absl::string_view(value.data(), value.size()))};
    }

    bytes_form m_form;
    nlohmann::json m_out;
};

// Position of a value in the document, for error messages.
struct field_path {
    const field_path *parent = nullptr;
    std::string_view name;
    std::optional<std::size_t> index;
};

std::string toString(const field_path &path);

// State that all readers of one document share.
struct read_state {
    bytes_form form = bytes_form::Binary;
    std::string error; // The first error, or empty if there is none.
};

// Fills a struct from a JSON object, which must have exactly the fields that describe() lists. Optional ages may be missing.
class field_reader
{
public:
    field_reader(const nlohmann::json &in, read_state &state, const field_path *path)
        : m_in(in)
        , m_state(state)
        , m_path(path)
    {
        if (!in.is_object()) {
            fail(path, "is not an object");
        }
    }

    template<class T>
    void field(const char *name, T &value)
    {
        const field_path path{m_path, name, std::nullopt};
        if (const auto *const member = find(name, path)) {
            read(*member, value, path);
        }
    }

    template<class T>
    void range(const char *name, T &value, std::int64_t minimum, std::int64_t maximum)
    {
        const field_path path{m_path, name, std::nullopt};
        const auto *const member = find(name, path);
        std::int64_t number = 0;
        if (member && readInteger(*member, number, minimum, maximum, path)) {
            value = T(number);
        }
    }

    void age(const char *name, duration &value)
    {
        const field_path path{m_path, name, std::nullopt};
        const auto *const member = find(name, path);
        std::int64_t count = 0;
        if (member && readInteger(*member, count, std::int64_t{0}, std::int64_t{maxDuration.count()}, path)) {
            value = duration{count};
        }
    }

    void age(const char *name, std::optional<duration> &value)
    {
        value.reset();
        if (m_in.is_object() && m_in.contains(name)) {
            age(name, value.emplace());
        }
    }

    void text(const char *name, std::string &value, std::size_t maxBytes)
    {
        const field_path path{m_path, name, std::nullopt};
        if (const auto *const member = find(name, path)) {
            readText(*member, value, maxBytes, path);
        }
    }

    void bytes(const char *name, std::string &value, std::size_t maxBytes);

    // Fails if the object has a field that describe() does not list.
    void finish();

private:
    const nlohmann::json *find(const char *name, const field_path &path);
    void fail(const field_path *path, std::string_view problem);
    bool readText(const nlohmann::json &in, std::string &value, std::size_t maxBytes, const field_path &path);

    template<std::integral T>
    bool readInteger(const nlohmann::json &in, T &value, T minimum, T maximum, const field_path &path)
    {
        const bool isUnsigned = in.is_number_unsigned();
        if (!isUnsigned && !in.is_number_integer()) {
            fail(&path, "is not an integer");
            return false;
        }
        const auto fits = [&](auto number) { return std::cmp_greater_equal(number, minimum) && std::cmp_less_equal(number, maximum); };
        const bool inRange = isUnsigned ? fits(in.get<std::uint64_t>()) : fits(in.get<std::int64_t>());
        if (!inRange) {
            fail(&path, "is out of range " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return false;
        }
        value = isUnsigned ? static_cast<T>(in.get<std::uint64_t>()) : static_cast<T>(in.get<std::int64_t>());
        return true;
    }

    template<class Enum>
    void readEnumerator(const nlohmann::json &in, Enum &value, const field_path &path)
    {
        std::string name;
        if (!readText(in, name, maxTextBytes, path)) {
            return;
        }
        for (std::size_t i = 0; i < enumeratorCount<Enum>; ++i) {
            if (nameOf(static_cast<Enum>(i)) == name) {
                value = static_cast<Enum>(i);
                return;
            }
        }
        fail(&path, "has an unknown value");
    }

    template<class Label>
    static std::optional<Label> parseLabel(std::string_view text)
    {
        if constexpr (std::same_as<Label, incarnation_id>) {
            return parseIncarnation(text);
        } else if constexpr (std::same_as<Label, request_label>) {
            return parseRequestLabel(text);
        } else if constexpr (std::same_as<Label, attempt_label>) {
            return parseAttemptLabel(text);
        } else {
            return parseRecordId(text);
        }
    }

    template<class Label>
    void readLabel(const nlohmann::json &in, Label &value, const field_path &path)
    {
        std::string text;
        if (!readText(in, text, maxTextBytes, path)) {
            return;
        }
        auto label = parseLabel<Label>(text);
        if (!label) {
            fail(&path, "does not have the form VM/INCARNATION[/SEQUENCE[/ATTEMPT]]");
            return;
        }
        value = std::move(*label);
    }

    void readDigest(const nlohmann::json &in, key_digest &value, const field_path &path);

    template<class Item>
    void readList(const nlohmann::json &in, std::vector<Item> &value, const field_path &path)
    {
        if (!in.is_array()) {
            fail(&path, "is not a list");
            return;
        }
        if (in.size() > maxListItems) {
            fail(&path, "has too many items");
            return;
        }
        value.clear();
        value.reserve(in.size());
        for (const auto &item : in) {
            const field_path itemPath{&path, {}, value.size()};
            read(item, value.emplace_back(), itemPath);
            if (!m_state.error.empty()) {
                return;
            }
        }
    }

    template<class T>
    void read(const nlohmann::json &in, T &value, const field_path &path)
    {
        if constexpr (isEntityName<T>) {
            readText(in, value.value, maxTextBytes, path);
        } else if constexpr (string_encoded<T>) {
            readLabel(in, value, path);
        } else if constexpr (std::same_as<T, key_digest>) {
            readDigest(in, value, path);
        } else if constexpr (std::same_as<T, std::chrono::milliseconds>) {
            std::int64_t count = 0;
            readInteger(in, count, std::int64_t{0}, std::int64_t{std::chrono::milliseconds(std::chrono::hours(24)).count()}, path);
            value = std::chrono::milliseconds(count);
        } else if constexpr (std::same_as<T, duration>) {
            std::int64_t count = 0;
            readInteger(in, count, std::int64_t{-maxDuration.count()}, std::int64_t{maxDuration.count()}, path);
            value = duration(count);
        } else if constexpr (std::is_enum_v<T>) {
            readEnumerator(in, value, path);
        } else if constexpr (std::same_as<T, bool>) {
            in.is_boolean() ? void(value = in.get<bool>()) : fail(&path, "is not a boolean");
        } else if constexpr (std::unsigned_integral<T>) {
            readInteger(in, value, T{0}, std::numeric_limits<T>::max(), path);
        } else if constexpr (std::integral<T>) {
            readInteger(in, value, T{0}, static_cast<T>(std::min<std::int64_t>(std::numeric_limits<T>::max(), maxAmount)), path);
        } else if constexpr (std::floating_point<T>) {
            in.is_number() ? void(value = in.get<T>()) : fail(&path, "is not a number");
        } else if constexpr (std::same_as<T, std::string>) {
            readText(in, value, maxTextBytes, path);
        } else if constexpr (isOptional<T>) {
            in.is_null() ? value.reset() : read(in, value.emplace(), path);
        } else if constexpr (isVector<T>) {
            readList(in, value, path);
        } else {
            field_reader reader(in, m_state, &path);
            describe(reader, value);
            reader.finish();
        }
    }

    const nlohmann::json &m_in;
    read_state &m_state;
    const field_path *m_path;
    std::set<std::string_view> m_knownFields;
};

template<class T>
nlohmann::json encodeFields(const T &value, bytes_form form)
{
    return field_writer::valueOf(value, form);
}

// Returns false and sets state.error if the value cannot be decoded.
template<class T>
bool decodeFields(const nlohmann::json &in, T &value, read_state &state, const field_path *path = nullptr)
{
    field_reader reader(in, state, path);
    describe(reader, value);
    reader.finish();
    return state.error.empty();
}

// Fields of the configuration.

template<class Visitor>
void describe(Visitor &visitor, entity<rate_limit> auto &value)
{
    visitor.field("rate", value.rate);
    visitor.field("burst", value.burst);
}

template<class Visitor>
void describe(Visitor &visitor, entity<client_account> auto &value)
{
    visitor.field("name", value.name);
    visitor.field("limit", value.limit);
    visitor.field("max_connections", value.maxConnections);
}

template<class Visitor>
void describe(Visitor &visitor, entity<account_key> auto &value)
{
    visitor.field("id", value.id);
    visitor.field("digest", value.digest);
    visitor.field("account", value.account);
}

template<class Visitor>
void describe(Visitor &visitor, entity<route> auto &value)
{
    visitor.field("method", value.method);
    visitor.field("path", value.path);
    visitor.field("kind", value.kind);
    visitor.field("access", value.access);
    visitor.field("deadline_ms", value.deadline);
}

template<class Visitor>
void describe(Visitor &visitor, entity<model_entry> auto &value)
{
    visitor.field("name", value.name);
    visitor.field("version", value.version);
    visitor.field("adapter", value.adapter);
    visitor.field("max_prompt_tokens", value.maxPromptTokens);
    visitor.field("max_output_tokens", value.maxOutputTokens);
    visitor.field("urgency", value.kind);
}

template<class Visitor>
void describe(Visitor &visitor, entity<endpoint> auto &value)
{
    visitor.field("name", value.name);
    visitor.field("address", value.address);
    visitor.field("data_centre", value.dataCentre);
    visitor.field("region", value.region);
    visitor.field("role", value.role);
    visitor.field("condition", value.condition);
    visitor.field("model", value.model);
    visitor.field("checks_fencing", value.checksFencing);
    visitor.field("slots", value.slots);
    visitor.field("pieces", value.kvBlocks);
    visitor.field("prefill_tokens_per_second", value.prefillTokensPerSecond);
    visitor.field("link_bytes_per_second", value.linkBytesPerSecond);
    visitor.field("kv_bytes_per_token", value.kvBytesPerToken);
}

template<class Visitor>
void describe(Visitor &visitor, entity<service_config> auto &value)
{
    visitor.field("name", value.name);
    visitor.field("routes", value.routes);
    visitor.field("models", value.models);
    visitor.field("endpoints", value.endpoints);
    visitor.field("accounts", value.accounts);
    visitor.field("clients", value.clients);
    visitor.field("keys", value.keys);
    visitor.field("fairness", value.fairness);
    visitor.field("first_token_target_ms", value.firstTokenTarget);
    visitor.field("token_interval_target_ms", value.tokenIntervalTarget);
}

} // namespace plantainpoint
