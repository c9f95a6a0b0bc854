// Body of an outgoing HTTP request. Several requests may share its bytes.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

namespace plantainpoint {

// Constant bytes that their owner keeps alive.
class shared_bytes
{
public:
    shared_bytes() = default;
    shared_bytes(std::string text)
        : shared_bytes(std::make_shared<const std::string>(std::move(text)))
    {
    }
    shared_bytes(std::shared_ptr<const void> owner, std::string_view bytes)
        : m_owner(std::move(owner))
        , m_bytes(bytes)
    {
    }

    std::string_view view() const { return m_bytes; }

private:
    explicit shared_bytes(const std::shared_ptr<const std::string> &text)
        : m_owner(text)
        , m_bytes(*text)
    {
    }

    std::shared_ptr<const void> m_owner;
    std::string_view m_bytes;
};

// Body type of Beast that sends shared bytes without copying them.
struct shared_body {
    using value_type = shared_bytes;

    static std::uint64_t size(const value_type &body) { return body.view().size(); }

    class writer
    {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template<bool IsRequest, class Fields>
        writer(const boost::beast::http::header<IsRequest, Fields> & /*head*/, const value_type &body)
            : m_body(body)
        {
        }

        void init(boost::beast::error_code &error) { error = {}; }
        boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code &error)
        {
            error = {};
            constexpr bool more = false;
            return {{const_buffers_type{m_body.view().data(), m_body.view().size()}, more}};
        }

    private:
        const value_type &m_body;
    };
};

} // namespace plantainpoint
