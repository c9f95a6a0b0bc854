#include "plantainpoint/cbor.hpp"

#include <string>
#include <utility>
#include <vector>

namespace plantainpoint {

using nlohmann::json;

namespace {

// Builds the document and stops at an array or object that is nested too deeply.
class document_builder final : public nlohmann::json_sax<json>
{
public:
    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); } // NOLINT(readability-identifier-naming): The interface requires these names.
    bool number_unsigned(number_unsigned_t value) override { return add(value); } // NOLINT(readability-identifier-naming)
    bool number_float(number_float_t value, const string_t & /*text*/) override { return add(value); } // NOLINT(readability-identifier-naming)
    bool string(string_t &value) override { return add(std::move(value)); }
    bool binary(binary_t &value) override { return add(std::move(value)); }
    bool start_object(std::size_t /*size*/) override { return open(json::object()); } // NOLINT(readability-identifier-naming)
    bool key(string_t &name) override
    {
        m_member = &(*m_open.back())[name];
        return true;
    }
    bool end_object() override { return close(); } // NOLINT(readability-identifier-naming)
    bool start_array(std::size_t /*size*/) override { return open(json::array()); } // NOLINT(readability-identifier-naming)
    bool end_array() override { return close(); } // NOLINT(readability-identifier-naming)
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const json::exception &error) override // NOLINT(readability-identifier-naming)
    {
        m_error = error.what();
        return false;
    }

    json take() { return std::move(m_root); }
    const std::string &error() const { return m_error; }

private:
    // Returns the place of the next value. It stays valid while the value is open, as its parent gets no further value until then.
    json &place(json value)
    {
        if (m_open.empty()) {
            m_root = std::move(value);
            return m_root;
        }
        if (m_open.back()->is_array()) {
            m_open.back()->push_back(std::move(value));
            return m_open.back()->back();
        }
        *m_member = std::move(value);
        return *m_member;
    }
    bool add(json value)
    {
        place(std::move(value));
        return true;
    }
    bool open(json value)
    {
        if (m_open.size() >= maxCborDepth) {
            m_error = "nested deeper than " + std::to_string(maxCborDepth) + " levels";
            return false;
        }
        m_open.push_back(&place(std::move(value)));
        return true;
    }
    bool close()
    {
        m_open.pop_back();
        return true;
    }

    json m_root;
    std::vector<json *> m_open; // Arrays and objects whose end has not been read.
    json *m_member = nullptr; // Value of the newest key.
    std::string m_error;
};

} // namespace

absl::StatusOr<json> parseCbor(std::string_view bytes, failure reason)
try {
    document_builder builder;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor)) {
        return makeStatus(reason, "CBOR: " + builder.error());
    }
    return builder.take();
} catch (const json::exception &error) {
    return makeStatus(reason, error.what());
}

} // namespace plantainpoint
