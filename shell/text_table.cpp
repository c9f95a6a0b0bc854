#include "text_table.hpp"

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace plantainpoint {

namespace {

using row = std::vector<std::string>;

std::string cellOf(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printRows(std::ostream &out, const std::vector<row> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &cells : rows) {
        widths.resize(std::max(widths.size(), cells.size()));
        for (std::size_t i = 0; i < cells.size(); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    for (const auto &cells : rows) {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            line += cells[i];
            line.append(i + 1 < cells.size() ? widths[i] - cells[i].size() + 2 : 0, ' ');
        }
        out << "  " << line << '\n';
    }
}

// Returns the columns in the order in which the fields first appear.
std::vector<std::string> columnsOf(const nlohmann::json &entries)
{
    std::vector<std::string> columns;
    for (const auto &entry : entries) {
        for (const auto &[name, value] : entry.items()) {
            if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
                columns.push_back(name);
            }
        }
    }
    return columns;
}

row cellsOf(const nlohmann::json &entry, const std::vector<std::string> &columns)
{
    row cells;
    for (const auto &column : columns) {
        cells.push_back(entry.contains(column) ? cellOf(entry.at(column)) : "-");
    }
    return cells;
}

void printArray(std::ostream &out, const nlohmann::json &entries)
{
    const bool isTable = std::all_of(entries.begin(), entries.end(), [](const auto &entry) { return entry.is_object(); });
    std::vector<row> rows;
    if (isTable) {
        const auto columns = columnsOf(entries);
        rows.push_back(columns);
        for (const auto &entry : entries) {
            rows.push_back(cellsOf(entry, columns));
        }
    } else {
        for (const auto &entry : entries) {
            rows.push_back({cellOf(entry)});
        }
    }
    printRows(out, rows);
}

// Prints an object whose values are all objects as a table with the keys in the first column.
void printMap(std::ostream &out, const nlohmann::json &entries)
{
    const auto columns = columnsOf(entries);
    std::vector<row> rows;
    rows.push_back(columns);
    rows.back().insert(rows.back().begin(), "name");
    for (const auto &[name, entry] : entries.items()) {
        rows.push_back(cellsOf(entry, columns));
        rows.back().insert(rows.back().begin(), name);
    }
    printRows(out, rows);
}

} // namespace

void printTables(std::ostream &out, const nlohmann::json &value)
{
    if (value.is_array()) {
        printArray(out, value);
        return;
    }
    if (!value.is_object()) {
        out << "  " << cellOf(value) << '\n';
        return;
    }
    const bool isMap = !value.empty() && std::all_of(value.begin(), value.end(), [](const auto &entry) { return entry.is_object(); });
    const bool hasSections = std::any_of(value.begin(), value.end(), [](const auto &entry) {
        return entry.is_object() && std::any_of(entry.begin(), entry.end(), [](const auto &nested) { return nested.is_structured(); });
    });
    if (isMap && !hasSections) {
        printMap(out, value);
        return;
    }
    std::vector<row> scalarRows;
    for (const auto &[name, entry] : value.items()) {
        if (!entry.is_structured()) {
            scalarRows.push_back({name, cellOf(entry)});
        }
    }
    printRows(out, scalarRows);
    for (const auto &[name, entry] : value.items()) {
        if (entry.is_structured() && !entry.empty()) {
            out << name << '\n';
            printTables(out, entry);
        }
    }
}

} // namespace plantainpoint
