// Checked access to the fields of JSON documents that other programs write.
#pragma once

#include <concepts>
#include <limits>
#include <stdexcept>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace plantainpoint {

// A field that is missing, of another type or out of range. The text names the field and what was expected.
class field_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

inline constexpr std::size_t maxNameSize = 1024; // Bytes.

// Returns the member of an object. Throws field_error if it is missing, or if the value is no object.
const nlohmann::json &memberOf(const nlohmann::json &in, const char *name);

// Returns the text. Throws field_error unless the value is a text of 1 to 1,024 bytes without control characters.
std::string nameFrom(const nlohmann::json &value, const char *name);

// Returns the integer. Throws field_error if the value is no integer, which fractions and exponents are not, or if it is out of range.
template<std::integral Number>
Number integerFrom(const nlohmann::json &value,
                   const char *name,
                   Number least = std::numeric_limits<Number>::min(),
                   Number greatest = std::numeric_limits<Number>::max())
{
    const auto isInRange = [&](auto number) { return std::cmp_greater_equal(number, least) && std::cmp_less_equal(number, greatest); };
    if (value.is_number_unsigned() && isInRange(value.get<std::uint64_t>())) {
        return static_cast<Number>(value.get<std::uint64_t>());
    }
    if (value.is_number_integer() && !value.is_number_unsigned() && isInRange(value.get<std::int64_t>())) {
        return static_cast<Number>(value.get<std::int64_t>());
    }
    throw field_error(std::string(name) + ": expected an integer from " + std::to_string(least) + " to " + std::to_string(greatest));
}

} // namespace plantainpoint
