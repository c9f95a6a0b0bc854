#include "engine_event.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace plantainpoint {

namespace {

enum class field : std::uint8_t {
    Other,
    Position,
    Text,
    Done,
    FinishReason,
    Tokens,
    Error,
};

field fieldOf(std::string_view name)
{
    constexpr std::pair<std::string_view, field> names[]{{"position", field::Position},
                                                         {"text", field::Text},
                                                         {"done", field::Done},
                                                         {"finish_reason", field::FinishReason},
                                                         {"tokens", field::Tokens},
                                                         {"error", field::Error}};
    for (const auto &[knownName, value] : names) {
        if (knownName == name) {
            return value;
        }
    }
    return field::Other;
}

// Reads the known fields of a flat JSON object without building a document.
struct event_reader final : nlohmann::json_sax<nlohmann::json> {
    bool null() override { return finishValue(); }
    bool boolean(bool value) override
    {
        if (m_depth == 1 && m_field == field::Done) {
            m_isDone = value;
        }
        return finishValue();
    }
    bool number_integer(number_integer_t value) override { return storeNumber(value); }
    bool number_unsigned(number_unsigned_t value) override
    {
        constexpr auto maxValue = static_cast<number_unsigned_t>(std::numeric_limits<std::int64_t>::max());
        return value <= maxValue && storeNumber(static_cast<std::int64_t>(value));
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override { return finishValue(); }
    bool string(string_t &value) override
    {
        if (m_depth != 1) {
            return true;
        }
        if (m_field == field::Text) {
            m_text = std::move(value);
            m_hasText = true;
        } else if (m_field == field::FinishReason) {
            m_finishReason = std::move(value);
        } else if (m_field == field::Error) {
            m_error = std::move(value);
            m_isError = true;
        }
        return finishValue();
    }
    bool binary(binary_t & /*value*/) override { return false; }
    bool start_object(std::size_t /*size*/) override
    {
        ++m_depth;
        return true;
    }
    bool key(string_t &name) override
    {
        if (m_depth == 1) {
            m_field = fieldOf(name);
        }
        return true;
    }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t /*size*/) override
    {
        ++m_depth;
        return true;
    }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::json::exception & /*error*/) override { return false; }

    engine_event event()
    {
        if (m_isError) {
            return engine_error{std::move(m_error)};
        }
        if (m_isDone) {
            return engine_done{std::move(m_finishReason), m_tokens};
        }
        if (m_hasText && m_position >= 0) {
            return engine_token{m_position, std::move(m_text)};
        }
        return engine_error{"malformed"};
    }

private:
    // Clears the current field, as its value was read.
    bool finishValue()
    {
        if (m_depth == 1) {
            m_field = field::Other;
        }
        return true;
    }

    bool storeNumber(std::int64_t value)
    {
        if (m_depth == 1 && (m_field == field::Position || m_field == field::Tokens)) {
            if (value < 0 || value > std::numeric_limits<std::int32_t>::max()) {
                return false;
            }
            (m_field == field::Position ? m_position : m_tokens) = static_cast<std::int32_t>(value);
        }
        return finishValue();
    }

    int m_depth = 0;
    field m_field = field::Other;
    std::int32_t m_position = -1;
    std::int32_t m_tokens = 0;
    std::string m_text;
    std::string m_finishReason;
    std::string m_error;
    bool m_hasText = false;
    bool m_isDone = false;
    bool m_isError = false;
};

// Parses the form that engines usually send for a token event, without a JSON parser. Returns nothing for any other form, also if the text contains
// escapes or is not ASCII.
std::optional<engine_token> parseCompactToken(std::string_view data)
{
    constexpr std::string_view prefix = R"({"position":)";
    constexpr std::string_view separator = R"(,"text":")";
    constexpr std::string_view suffix = R"("})";
    if (!data.starts_with(prefix) || !data.ends_with(suffix)) {
        return std::nullopt;
    }
    data.remove_prefix(prefix.size());
    std::int32_t position = 0;
    const auto [end, error] = std::from_chars(data.data(), data.data() + data.size(), position);
    const auto digitCount = static_cast<std::size_t>(end - data.data());
    // JSON numbers have no leading zero.
    if (error != std::errc{} || position < 0 || (data.front() == '0' && digitCount > 1)) {
        return std::nullopt;
    }
    data.remove_prefix(digitCount);
    if (!data.starts_with(separator) || data.size() < separator.size() + suffix.size()) {
        return std::nullopt;
    }
    const auto text = data.substr(separator.size(), data.size() - separator.size() - suffix.size());
    const bool isPlainAscii = std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
    return isPlainAscii ? std::optional{engine_token{position, std::string{text}}} : std::nullopt;
}

} // namespace

engine_event parseEngineEvent(std::string_view data)
{
    if (auto token = parseCompactToken(data)) {
        return std::move(*token);
    }
    event_reader reader;
    if (!nlohmann::json::sax_parse(data.begin(), data.end(), &reader)) {
        return engine_error{"malformed"};
    }
    return reader.event();
}

} // namespace plantainpoint
