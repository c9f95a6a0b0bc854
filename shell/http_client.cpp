#include "http_client.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "client_connection.hpp"

namespace plantainpoint {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

// Services commonly close idle connections after 5 s. A request that is sent while the service closes the connection has an unknown outcome.
constexpr auto maxIdleTime = std::chrono::seconds{3};
constexpr auto sweepInterval = std::chrono::seconds{1};
constexpr unsigned httpVersion = 11;

// Sets the headers that state the length of the body. Returns false if HTTP has no such request, like a TRACE with a body.
bool setLength(http_request &request)
{
    try {
        request.prepare_payload();
        return true;
    } catch (const std::invalid_argument &) {
        return false;
    }
}

} // namespace

running_call::running_call(std::weak_ptr<client_connection> connection, std::uint64_t number)
    : m_connection(std::move(connection))
    , m_callNumber(number)
{
}

void running_call::abort()
{
    if (const auto connection = m_connection.lock()) {
        connection->abort(m_callNumber);
    }
}

http_client::http_client(boost::asio::io_context &io, http_client_options options)
    : m_pool(std::make_shared<connection_pool>(io, options))
{
}

http_client::~http_client()
{
    close();
}

running_call http_client::start(const std::string &address, http_call call, std::shared_ptr<http_receiver> receiver)
{
    return m_pool->start(address, std::move(call), std::move(receiver));
}

void http_client::close()
{
    m_pool->close();
}

connection_pool::connection_pool(boost::asio::io_context &io, http_client_options options)
    : m_io(io)
    , m_options(options)
    , m_timer(io)
{
}

running_call connection_pool::start(const std::string &address, http_call call, std::shared_ptr<http_receiver> receiver)
{
    const bool sendable = setLength(call.request);
    const auto proxy = call.proxy ? call.proxy->proxy : std::string{};
    auto connection = call.newConnection || !sendable ? nullptr : acquireIdle(connectionKey(address, proxy));
    if (!connection) {
        connection = std::make_shared<client_connection>(m_io, weak_from_this(), address, proxy, m_options);
        m_open.insert(connection);
    }
    if (call.request.find(http::field::host) == call.request.end()) {
        call.request.set(http::field::host, address);
    }
    const auto number = connection->start(std::move(call), std::move(receiver), sendable);
    return running_call{connection, number};
}

std::shared_ptr<client_connection> connection_pool::acquireIdle(const std::string &key)
{
    const auto it = m_idle.find(key);
    if (it == m_idle.end()) {
        return nullptr;
    }
    auto &idle = it->second;
    while (!idle.empty()) {
        // Takes the most recently used connection, so that surplus connections stay idle and expire.
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isReusable() && !connection->isExpired()
            && steady_clock::now() - connection->idleSince() < std::min<steady_clock::duration>(maxIdleTime, connection->idleLimit())) {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void connection_pool::returnConnection(const std::shared_ptr<client_connection> &connection)
{
    auto &idle = m_idle[connection->key()];
    if (idle.size() >= m_options.maxIdlePerAddress) {
        connection->close();
        return;
    }
    idle.push_back(connection);
    scheduleSweep();
}

void connection_pool::remove(const std::shared_ptr<client_connection> &connection)
{
    m_open.erase(connection);
    const auto it = m_idle.find(connection->key());
    if (it != m_idle.end()) {
        std::erase(it->second, connection);
    }
}

void connection_pool::closeIdle(const std::string &key)
{
    const auto found = m_idle.extract(key);
    if (found) {
        for (const auto &connection : found.mapped()) {
            connection->close();
        }
    }
}

void connection_pool::scheduleSweep()
{
    if (m_sweepScheduled) {
        return;
    }
    m_sweepScheduled = true;
    m_timer.expires_after(sweepInterval);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->sweep();
        }
    });
}

void connection_pool::sweep()
{
    m_sweepScheduled = false;
    const auto idleCutoff = steady_clock::now() - maxIdleTime;
    std::vector<std::shared_ptr<client_connection>> expired;
    for (auto &[address, idle] : m_idle) {
        std::copy_if(idle.begin(), idle.end(), std::back_inserter(expired), [&](const auto &connection) { return connection->idleSince() < idleCutoff; });
    }
    for (const auto &connection : expired) {
        connection->close();
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
    if (!m_idle.empty()) {
        scheduleSweep();
    }
}

void connection_pool::close()
{
    m_timer.cancel();
    const auto open = std::exchange(m_open, {});
    m_idle.clear();
    for (const auto &connection : open) {
        connection->closeWithoutCallback();
    }
}

http_request makeRequest(http::verb method, std::string_view target, std::string body, std::string_view contentType)
{
    http_request request{method, boost::beast::string_view{target.data(), target.size()}, httpVersion};
    if (!body.empty()) {
        request.set(http::field::content_type, boost::beast::string_view{contentType.data(), contentType.size()});
        request.body() = shared_bytes(std::move(body));
    }
    return request;
}

} // namespace plantainpoint
