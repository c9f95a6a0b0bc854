#include "json_fields.hpp"

#include <algorithm>

namespace plantainpoint {

namespace {

bool isControl(char c)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return byte < firstPrintable || byte == deleteCharacter;
}

} // namespace

const nlohmann::json &memberOf(const nlohmann::json &in, const char *name)
{
    if (!in.is_object()) {
        throw field_error("expected an object");
    }
    const auto found = in.find(name);
    if (found == in.end()) {
        throw field_error(std::string(name) + ": expected the field");
    }
    return *found;
}

std::string nameFrom(const nlohmann::json &value, const char *name)
{
    const auto *const text = value.get_ptr<const std::string *>();
    if (text == nullptr || text->empty() || text->size() > maxNameSize || std::any_of(text->begin(), text->end(), isControl)) {
        throw field_error(std::string(name) + ": expected a text of 1 to " + std::to_string(maxNameSize) + " bytes without control characters");
    }
    return *text;
}

} // namespace plantainpoint
