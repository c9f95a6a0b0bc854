// Prints JSON as human-readable text tables.
#pragma once

#include <iosfwd>

#include <nlohmann/json_fwd.hpp>

namespace plantainpoint {

// Prints an array of objects as a table with one column per field. An object is printed as its scalar fields, followed by one section per
// nested value. An object whose values are objects of scalars is printed as a table.
void printTables(std::ostream &out, const nlohmann::json &value);

} // namespace plantainpoint
