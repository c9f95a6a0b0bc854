#include "json_text.hpp"

namespace plantainpoint {

namespace {

constexpr unsigned char firstPrintable = 0x20;

bool needsEscape(char c)
{
    return static_cast<unsigned char>(c) < firstPrintable || c == '"' || c == '\\';
}

void appendEscape(std::string &out, char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    switch (c) {
    case '"':
        out += "\\\"";
        return;
    case '\\':
        out += "\\\\";
        return;
    case '\n':
        out += "\\n";
        return;
    case '\r':
        out += "\\r";
        return;
    case '\t':
        out += "\\t";
        return;
    default:
        out += "\\u00";
        out += digits[static_cast<unsigned char>(c) >> 4];
        out += digits[static_cast<unsigned char>(c) & 0xf];
    }
}

} // namespace

void appendJsonEscaped(std::string &out, std::string_view text)
{
    std::size_t plainStart = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (!needsEscape(text[i])) {
            continue;
        }
        out.append(text, plainStart, i - plainStart);
        appendEscape(out, text[i]);
        plainStart = i + 1;
    }
    out.append(text, plainStart);
}

} // namespace plantainpoint
