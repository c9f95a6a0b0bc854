#include "plantainpoint/cbor.hpp"

#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "plantainpoint/failure.hpp"

namespace plantainpoint {

namespace {

using nlohmann::json;

constexpr std::size_t maxDepth = 16; // Record types of the log nest six levels deep, and messages of the fleet four.

// Builds a document and stops at the first level that is nested too deeply.
class document_builder final : public nlohmann::json_sax<json>
{
public:
    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); } // NOLINT(readability-identifier-naming): The interface requires these names.
    bool number_unsigned(number_unsigned_t value) override { return add(value); } // NOLINT(readability-identifier-naming)
    bool number_float(number_float_t value, const string_t &) override { return add(value); } // NOLINT(readability-identifier-naming)
    bool string(string_t &value) override { return add(std::move(value)); }
    bool binary(binary_t &value) override { return add(json::binary(std::move(value))); }
    bool start_object(std::size_t) override { return open(json::object()); } // NOLINT(readability-identifier-naming)
    bool start_array(std::size_t) override { return open(json::array()); } // NOLINT(readability-identifier-naming)
    bool end_object() override { return close(); } // NOLINT(readability-identifier-naming)
    bool end_array() override { return close(); } // NOLINT(readability-identifier-naming)
    bool key(string_t &value) override
    {
        m_member = &(*m_open.back())[std::move(value)];
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &error) override // NOLINT(readability-identifier-naming)
    {
        m_error = error.what();
        return false;
    }

    json takeDocument() { return std::move(m_document); }
    const std::string &error() const { return m_error; }

private:
    json &place(json value)
    {
        if (m_open.empty()) {
            return m_document = std::move(value);
        }
        auto &parent = *m_open.back();
        if (parent.is_object()) {
            return *m_member = std::move(value);
        }
        parent.push_back(std::move(value));
        return parent.back();
    }
    bool add(json value)
    {
        place(std::move(value));
        return true;
    }
    bool open(json container)
    {
        if (m_open.size() == maxDepth) {
            m_error = "expected at most " + std::to_string(maxDepth) + " nested levels";
            return false;
        }
        m_open.push_back(&place(std::move(container)));
        return true;
    }
    bool close()
    {
        m_open.pop_back();
        return true;
    }

    json m_document;
    std::vector<json *> m_open; // Containers that have not ended. A container gets no sibling before it ends, so that the pointers stay valid.
    json *m_member = nullptr; // Value of the last key.
    std::string m_error;
};

} // namespace

absl::StatusOr<json> parseCbor(std::string_view bytes, failure reason)
try {
    document_builder builder;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor)) {
        return makeStatus(reason, "document is not valid CBOR: " + builder.error());
    }
    return builder.takeDocument();
} catch (const json::exception &error) {
    return makeStatus(reason, error.what());
}

} // namespace plantainpoint
