#include "yaml_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

#include "address.hpp"
#include "plantainpoint/failure.hpp"

namespace plantainpoint {

namespace {

struct unit {
    std::string_view name;
    std::int64_t factor;
};

constexpr unit sizeUnits[]{{"B", 1}, {"KB", 1024}, {"MB", 1024L * 1024L}};
constexpr unit timeUnits[]{{"ms", 1}, {"s", 1000}, {"m", 60'000}};

// Parses a whole number followed by one of the units and scales it by the unit's factor.
template<std::size_t Count>
std::optional<std::int64_t> parseWithUnit(std::string_view text, const unit (&units)[Count])
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || number < 0) {
        return std::nullopt;
    }
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    const auto *const found = std::find_if(std::begin(units), std::end(units), [&](const unit &candidate) { return candidate.name == suffix; });
    std::int64_t scaled = 0;
    if (found == std::end(units) || __builtin_mul_overflow(number, found->factor, &scaled)) {
        return std::nullopt;
    }
    return scaled;
}

std::string rangeText(std::int64_t low, std::int64_t high, std::string_view unitName)
{
    std::string text = "must be from " + std::to_string(low);
    text += unitName;
    text += " to " + std::to_string(high);
    text += unitName;
    return text;
}

// Returns whether a platform had no value for a placeholder, or did not fill it in.
bool isWithoutValue(std::string_view text)
{
    return text.empty() || text == "null" || text.starts_with("{{");
}

} // namespace

settings_errors::settings_errors(std::string file)
    : m_file(std::move(file))
{
}

void settings_errors::add(int line, std::string_view key, std::string_view message)
{
    if (!m_status.ok()) {
        return;
    }
    std::string text = m_file;
    if (line >= 0) {
        text += ':' + std::to_string(line + 1);
    }
    text += ": ";
    if (!key.empty()) {
        text += key;
        text += ": ";
    }
    text += message;
    m_status = makeStatus(failure::InvalidSettings, text);
}

settings_section::settings_section(const YAML::Node &node, std::string path, settings_errors &errors)
    : m_node(node)
    , m_path(std::move(path))
    , m_errors(&errors)
{
    if (m_node.IsDefined() && !m_node.IsNull() && !m_node.IsMap()) {
        m_errors->add(m_node.Mark().line, m_path, "must be a mapping");
        m_node = YAML::Node();
    }
}

bool settings_section::has(const std::string &key) const
{
    return m_node.IsMap() && m_node[key].IsDefined();
}

YAML::Node settings_section::find(const std::string &key)
{
    m_knownKeys.insert(key);
    return has(key) ? m_node[key] : YAML::Node(YAML::NodeType::Undefined);
}

void settings_section::fail(const YAML::Node &node, const std::string &key, std::string_view message)
{
    const int line = node.IsDefined() ? node.Mark().line : m_node.Mark().line;
    m_errors->add(line, m_path.empty() ? key : m_path + '.' + key, message);
}

std::string settings_section::scalar(const std::string &key, bool required, bool &found)
{
    found = false;
    const auto node = find(key);
    if (!node.IsDefined()) {
        if (required) {
            fail(node, key, "is required");
        }
        return {};
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
        fail(node, key, "must be a single value");
        return {};
    }
    found = true;
    return node.Scalar();
}

std::string settings_section::text(const std::string &key)
{
    bool found = false;
    return scalar(key, true, found);
}

std::string settings_section::text(const std::string &key, const std::string &fallback)
{
    bool found = false;
    auto value = scalar(key, false, found);
    return found ? value : fallback;
}

std::string settings_section::address(const std::string &key)
{
    bool found = false;
    auto value = scalar(key, true, found);
    if (found && !isAddress(value)) {
        fail(find(key), key, "must be IP:PORT");
    }
    return value;
}

std::string settings_section::address(const std::string &key, const std::string &fallback)
{
    return has(key) ? address(key) : (m_knownKeys.insert(key), fallback);
}

std::int64_t settings_section::integer(const std::string &key, std::int64_t fallback, std::int64_t low, std::int64_t high)
{
    bool found = false;
    const auto value = scalar(key, false, found);
    if (!found) {
        return fallback;
    }
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc{} || end != value.data() + value.size()) {
        fail(find(key), key, "must be a whole number");
        return fallback;
    }
    if (number < low || number > high) {
        fail(find(key), key, rangeText(low, high, ""));
        return fallback;
    }
    return number;
}

double settings_section::number(const std::string &key, double fallback, double low, double high)
{
    if (const auto node = find(key); node && (node.IsNull() || (node.IsScalar() && isWithoutValue(node.Scalar())))) {
        return fallback;
    }
    bool found = false;
    const auto value = scalar(key, false, found);
    if (!found) {
        return fallback;
    }
    if (value == "true" || value == "false") {
        return std::clamp(value == "true" ? 1.0 : 0.0, low, high);
    }
    double parsed = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parsed);
    if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(parsed)) {
        fail(find(key), key, "must be a number");
        return fallback;
    }
    return std::clamp(parsed, low, high);
}

std::string settings_section::renderedText(const std::string &key)
{
    const auto node = find(key);
    return node && node.IsScalar() && !isWithoutValue(node.Scalar()) ? node.Scalar() : std::string{};
}

std::map<std::string, std::string> settings_section::renderedTable(const std::string &key, const std::string &field)
{
    std::map<std::string, std::string> out;
    const auto add = [&](const YAML::Node &name, const YAML::Node &value) {
        if (name && value && name.IsScalar() && value.IsScalar() && !isWithoutValue(name.Scalar()) && !isWithoutValue(value.Scalar())) {
            out[name.Scalar()] = value.Scalar();
        }
    };
    const auto node = find(key);
    if (node && node.IsMap()) {
        for (const auto &item : node) {
            add(item.first, item.second.IsMap() ? item.second[field] : item.second);
        }
    } else if (node && node.IsSequence()) {
        for (const auto &item : node) {
            if (item.IsMap()) {
                add(item["name"], item[field]);
            }
        }
    }
    return out;
}

std::size_t settings_section::size(const std::string &key, std::size_t fallback, std::size_t low, std::size_t high)
{
    bool found = false;
    const auto value = scalar(key, false, found);
    if (!found) {
        return fallback;
    }
    const auto bytes = parseWithUnit(value, sizeUnits);
    if (!bytes) {
        fail(find(key), key, "must be a number with the unit B, KB or MB");
        return fallback;
    }
    const auto checked = static_cast<std::size_t>(*bytes);
    if (checked < low || checked > high) {
        fail(find(key), key, rangeText(static_cast<std::int64_t>(low), static_cast<std::int64_t>(high), "B"));
        return fallback;
    }
    return checked;
}

std::chrono::milliseconds
settings_section::time(const std::string &key, std::chrono::milliseconds fallback, std::chrono::milliseconds low, std::chrono::milliseconds high)
{
    bool found = false;
    const auto value = scalar(key, false, found);
    if (!found) {
        return fallback;
    }
    const auto parsed = parseWithUnit(value, timeUnits);
    if (!parsed) {
        fail(find(key), key, "must be a number with the unit ms, s or m");
        return fallback;
    }
    const std::chrono::milliseconds checked{*parsed};
    if (checked < low || checked > high) {
        fail(find(key), key, rangeText(low.count(), high.count(), "ms"));
        return fallback;
    }
    return checked;
}

std::size_t settings_section::choice(const std::string &key, std::size_t fallback, std::initializer_list<std::string_view> values)
{
    bool found = false;
    const auto value = scalar(key, false, found);
    if (!found) {
        return fallback;
    }
    const auto *const chosen = std::find(values.begin(), values.end(), value);
    if (chosen != values.end()) {
        return static_cast<std::size_t>(chosen - values.begin());
    }
    std::string message = "must be one of";
    for (const auto allowed : values) {
        message += ' ';
        message += allowed;
    }
    fail(find(key), key, message);
    return fallback;
}

settings_section settings_section::section(const std::string &key)
{
    return {find(key), m_path.empty() ? key : m_path + '.' + key, *m_errors};
}

std::vector<settings_section> settings_section::list(const std::string &key)
{
    std::vector<settings_section> sections;
    const auto node = find(key);
    if (!node.IsDefined() || node.IsNull()) {
        return sections;
    }
    if (!node.IsSequence()) {
        fail(node, key, "must be a list");
        return sections;
    }
    const std::string path = m_path.empty() ? key : m_path + '.' + key;
    for (std::size_t i = 0; i < node.size(); ++i) {
        sections.emplace_back(node[i], path + '[' + std::to_string(i) + ']', *m_errors);
    }
    return sections;
}

void settings_section::finish()
{
    if (!m_node.IsMap()) {
        return;
    }
    for (const auto &entry : m_node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string{};
        if (!m_knownKeys.contains(key)) {
            fail(entry.first, key, "is not a known key");
        }
    }
}

YAML::Node loadYaml(const std::string &file, settings_errors &errors)
{
    try {
        return YAML::LoadFile(file);
    } catch (const YAML::BadFile &) {
        errors.add(-1, "", "cannot be read");
    } catch (const YAML::ParserException &error) {
        errors.add(error.mark.line, "", error.msg);
    }
    return {};
}

bool isAddress(const std::string &text)
{
    return parseAddress(text).has_value();
}

} // namespace plantainpoint
