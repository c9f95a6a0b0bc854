#include "address.hpp"

#include <charconv>
#include <string>

namespace plantainpoint {

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    boost::system::error_code invalid;
    const auto address = boost::asio::ip::make_address(std::string{host}, invalid);
    if (invalid) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint{address, port};
}

bool isPeerAddress(std::string_view text)
{
    const auto address = parseAddress(text);
    return address && address->port() != 0;
}

} // namespace plantainpoint
