#include "service_yaml.hpp"

#include <charconv>
#include <cmath>
#include <limits>

namespace plantainpoint {

namespace {

int lineOf(const YAML::Node &node)
{
    return node.IsDefined() && node.Mark().line >= 0 ? node.Mark().line + 1 : 0;
}

// Parses an unsigned decimal number with a unit and scales it by the unit's factor. Returns nothing on any other text.
std::optional<std::int64_t> parseScaled(std::string_view text, const std::vector<unit_factor> &units)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (error != std::errc{} || !std::isfinite(number) || number < 0) {
        return std::nullopt;
    }
    auto suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    suffix.remove_prefix(std::min(suffix.find_first_not_of(' '), suffix.size()));
    for (const auto &unit : units) {
        const double scaled = std::round(number * static_cast<double>(unit.factor));
        if (unit.name == suffix && scaled <= 1e18) {
            return static_cast<std::int64_t>(scaled);
        }
    }
    return std::nullopt;
}

} // namespace

std::string toString(const file_problem &problem)
{
    std::string text = problem.file;
    if (problem.line > 0) {
        text += ":" + std::to_string(problem.line);
    }
    text += ": ";
    if (!problem.key.empty()) {
        text += problem.key + ": ";
    }
    return text + problem.text;
}

YAML::Node loadServiceYaml(const std::string &file, service_diagnostics &diagnostics)
{
    try {
        return YAML::LoadFile(file);
    } catch (const YAML::BadFile &) {
        diagnostics.problems.push_back({file, 0, {}, "cannot be read"});
    } catch (const YAML::Exception &error) {
        diagnostics.problems.push_back({file, error.mark.line + 1, {}, error.msg});
    }
    return {};
}

service_yaml::service_yaml(const YAML::Node &node, std::string file, std::string field, service_diagnostics &diagnostics)
    : m_node(node)
    , m_file(std::move(file))
    , m_field(std::move(field))
    , m_diagnostics(diagnostics)
{
    m_diagnostics.locations[m_field] = {m_file, lineOf(m_node)};
    if (m_node.IsDefined() && !m_node.IsNull() && !m_node.IsMap()) {
        m_diagnostics.problems.push_back({m_file, lineOf(m_node), m_field, "must be a mapping"});
        m_node.reset();
    }
}

std::string service_yaml::pathOf(const std::string &key) const
{
    return m_field.empty() ? key : m_field + "." + key;
}

void service_yaml::fail(const std::string &key, std::string text)
{
    const YAML::Node value = m_node.IsMap() ? m_node[key] : YAML::Node();
    const int line = m_node.IsMap() && value.IsDefined() ? lineOf(value) : lineOf(m_node);
    m_diagnostics.problems.push_back({m_file, line, pathOf(key), std::move(text)});
}

bool service_yaml::has(const std::string &key) const
{
    return m_node.IsMap() && m_node[key].IsDefined();
}

YAML::Node service_yaml::find(const std::string &key, const std::string &field)
{
    m_knownKeys.insert(key);
    if (!has(key)) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    const auto value = m_node[key];
    m_diagnostics.locations[pathOf(field.empty() ? key : field)] = {m_file, lineOf(value)};
    return value;
}

std::string service_yaml::text(const std::string &key, bool required, const std::string &field)
{
    const auto value = find(key, field);
    if (!value.IsDefined()) {
        if (required) {
            fail(key, "is missing");
        }
        return {};
    }
    if (!value.IsScalar()) {
        fail(key, "must be a single value");
        return {};
    }
    if (required && value.Scalar().empty()) {
        fail(key, "is empty");
    }
    return value.Scalar();
}

bool service_yaml::boolean(const std::string &key, bool fallback)
{
    const auto value = text(key, false);
    if (value == "true" || value == "false") {
        return value == "true";
    }
    if (has(key)) {
        fail(key, "must be true or false");
    }
    return fallback;
}

double service_yaml::number(const std::string &key, double fallback)
{
    const auto value = text(key, false);
    double number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error == std::errc{} && end == value.data() + value.size() && std::isfinite(number)) {
        return number;
    }
    if (has(key)) {
        fail(key, "must be a number");
    }
    return fallback;
}

std::int64_t service_yaml::integer(const std::string &key, std::int64_t fallback, const std::string &field)
{
    const auto value = text(key, false, field);
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error == std::errc{} && end == value.data() + value.size()) {
        return number;
    }
    if (has(key)) {
        fail(key, "must be a whole number");
    }
    return fallback;
}

std::int32_t service_yaml::integer32(const std::string &key, std::int32_t fallback, const std::string &field)
{
    const auto value = integer(key, fallback, field);
    if (value < std::numeric_limits<std::int32_t>::min() || value > std::numeric_limits<std::int32_t>::max()) {
        fail(key, "is outside the range of a 32-bit integer");
        return fallback;
    }
    return static_cast<std::int32_t>(value);
}

std::int64_t
service_yaml::quantity(const std::string &key, std::optional<std::int64_t> fallback, const std::vector<unit_factor> &units, const std::string &field)
{
    const auto value = text(key, !fallback, field);
    if (value.empty()) {
        return fallback.value_or(0);
    }
    if (const auto scaled = parseScaled(value, units)) {
        return *scaled;
    }
    std::string unitNames;
    for (const auto &unit : units) {
        unitNames += (unitNames.empty() ? "" : ", ") + std::string{unit.name};
    }
    fail(key, "must be a number with one of the units " + unitNames);
    return fallback.value_or(0);
}

std::chrono::milliseconds service_yaml::time(const std::string &key, std::chrono::milliseconds fallback, const std::string &field)
{
    static const std::vector<unit_factor> units{{"ms", 1}, {"s", 1000}, {"m", 60'000}};
    return std::chrono::milliseconds(quantity(key, fallback.count(), units, field));
}

std::vector<std::string> service_yaml::textList(const std::string &key)
{
    const auto list = find(key, {});
    std::vector<std::string> values;
    if (!list.IsDefined() || list.IsNull()) {
        return values;
    }
    if (!list.IsSequence()) {
        fail(key, "must be a list");
        return values;
    }
    for (const auto &item : list) {
        const auto field = pathOf(key) + "[" + std::to_string(values.size()) + "]";
        m_diagnostics.locations[field] = {m_file, lineOf(item)};
        if (!item.IsScalar()) {
            m_diagnostics.problems.push_back({m_file, lineOf(item), field, "must be a single value"});
        }
        values.push_back(item.IsScalar() ? item.Scalar() : std::string{});
    }
    return values;
}

void service_yaml::forEachItem(const std::string &list, const std::function<void(service_yaml &)> &readItem)
{
    const auto items = find(list, {});
    if (!items.IsDefined() || items.IsNull()) {
        return;
    }
    if (!items.IsSequence()) {
        fail(list, "must be a list");
        return;
    }
    std::size_t index = 0;
    for (const auto &item : items) {
        service_yaml section(item, m_file, pathOf(list) + "[" + std::to_string(index++) + "]", m_diagnostics);
        readItem(section);
        section.finish();
    }
}

void service_yaml::finish()
{
    std::set<std::string> seen;
    for (const auto &item : m_node) {
        const auto key = item.first.IsScalar() ? item.first.Scalar() : std::string{};
        if (!m_knownKeys.contains(key)) {
            m_diagnostics.problems.push_back({m_file, lineOf(item.first), pathOf(key), "is not a known key"});
        } else if (!seen.insert(key).second) {
            m_diagnostics.problems.push_back({m_file, lineOf(item.first), pathOf(key), "is a duplicate key"});
        }
    }
}

} // namespace plantainpoint
