#include "field_codec.hpp"

namespace plantainpoint {

std::string toString(const field_path &path)
{
    std::string text = path.parent ? toString(*path.parent) : std::string{};
    if (path.index) {
        return text + "[" + std::to_string(*path.index) + "]";
    }
    if (!text.empty()) {
        text += '.';
    }
    return text += path.name;
}

const nlohmann::json *field_reader::find(const char *name, const field_path &path)
{
    if (!m_state.error.empty()) {
        return nullptr;
    }
    m_knownFields.insert(name);
    const auto it = m_in.find(name);
    if (it == m_in.end()) {
        fail(&path, "is missing");
        return nullptr;
    }
    return &*it;
}

void field_reader::fail(const field_path *path, std::string_view problem)
{
    if (!m_state.error.empty()) {
        return;
    }
    m_state.error = path ? toString(*path) : "document";
    m_state.error += ' ';
    m_state.error += problem;
}

bool field_reader::readText(const nlohmann::json &in, std::string &value, std::size_t maxBytes, const field_path &path)
{
    const auto *const text = in.get_ptr<const std::string *>();
    if (!text) {
        fail(&path, "is not a string");
        return false;
    }
    if (text->size() > maxBytes) {
        fail(&path, "is longer than " + std::to_string(maxBytes) + " bytes");
        return false;
    }
    value = *text;
    return true;
}

void field_reader::bytes(const char *name, std::string &value, std::size_t maxBytes)
{
    const field_path path{m_path, name, std::nullopt};
    const auto *const member = find(name, path);
    if (!member) {
        return;
    }
    if (m_state.form == bytes_form::Binary) {
        if (!member->is_binary()) {
            fail(&path, "is not a byte string");
            return;
        }
        const auto &binary = member->get_binary();
        value.assign(binary.begin(), binary.end());
    } else {
        const auto *const text = member->get_ptr<const std::string *>();
        if (!text || !absl::Base64Unescape(absl::string_view(text->data(), text->size()), &value)) {
            fail(&path, "is not a base64 string");
            return;
        }
    }
    if (value.size() > maxBytes) {
        fail(&path, "is longer than " + std::to_string(maxBytes) + " bytes");
    }
}

void field_reader::readDigest(const nlohmann::json &in, key_digest &value, const field_path &path)
{
    std::string hex;
    if (!readText(in, hex, 2 * value.size(), path)) {
        return;
    }
    const auto digest = parseDigest(hex);
    if (!digest.ok()) {
        fail(&path, "is not a SHA-256 digest of 64 hexadecimal digits");
        return;
    }
    value = *digest;
}

void field_reader::finish()
{
    // Optional fields are in m_knownFields only if they are present, so equal sizes mean that the object has no other fields.
    if (!m_state.error.empty() || m_in.size() == m_knownFields.size()) {
        return;
    }
    for (const auto &item : m_in.items()) {
        if (!m_knownFields.contains(item.key())) {
            const field_path path{m_path, item.key(), std::nullopt};
            fail(&path, "is unknown");
            return;
        }
    }
}

} // namespace plantainpoint
