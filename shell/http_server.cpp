#include "http_server.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <malloc.h>
#include <poll.h>

#include <boost/asio/post.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>

#include "address.hpp"

namespace plantainpoint {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto maxSweepInterval = std::chrono::milliseconds{1000};
constexpr int sweepsPerIdleTime = 4;
// Delay after a failed accept, such as one for want of file descriptors.
constexpr auto acceptRetryDelay = std::chrono::milliseconds{50};

// A body waits for memory for at most so long. A caller that is refused then still has most of its time.
constexpr auto maxMemoryWait = std::chrono::milliseconds{500};
constexpr auto longestMemoryWait = 4 * maxMemoryWait; // While older bodies go on.
constexpr auto memoryReturnInterval = std::chrono::milliseconds{500}; // Each return visits all freed blocks.
constexpr auto memoryRetryInterval = std::chrono::milliseconds{25};
// A connection at rest for this time may be closed for a new one. A caller that sends request after request rests less.
constexpr auto minRest = std::chrono::seconds{1};
constexpr auto reportInterval = std::chrono::seconds{1};
// Closed at once beyond the bound of connections, so that the caller can try another VM.
constexpr std::string_view connectionRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n";

std::size_t bytesPending(const tcp::socket &socket)
{
    boost::system::error_code error;
    const auto size = socket.available(error);
    return error ? 0 : size;
}

bool isWritable(tcp::socket &socket)
{
    pollfd descriptor{.fd = socket.native_handle(), .events = POLLOUT, .revents = 0};
    return ::poll(&descriptor, 1, 0) > 0;
}

void setLinger(tcp::socket &socket, bool reset)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(reset, 0), ignored);
}

class plain_session final : public caller_session
{
public:
    plain_session(session_host &host, tcp::socket socket)
        : caller_session(host)
        , m_socket(std::move(socket))
    {
    }

    std::size_t pendingInput() const override { return bytesPending(m_socket); }
    bool canWrite() override { return isWritable(m_socket); }

private:
    std::shared_ptr<plain_session> self() { return std::static_pointer_cast<plain_session>(shared_from_this()); }

    asio::any_io_executor executor() override { return m_socket.get_executor(); }
    void handshake() override { ready(); }
    void read(asio::mutable_buffer buffer) override
    {
        m_socket.async_read_some(buffer, [self = self()](const boost::system::error_code &error, std::size_t size) { self->onRead(error, size); });
    }
    void write(asio::const_buffer bytes) override
    {
        m_socket.async_write_some(bytes, [self = self()](const boost::system::error_code &error, std::size_t size) { self->onWritten(error, size); });
    }
    void endOutput() override
    {
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    void cancelRead() override
    {
        boost::system::error_code ignored;
        m_socket.cancel(ignored);
    }
    void closeSocket() override
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
    void setResetOnClose(bool reset) override { setLinger(m_socket, reset); }

    tcp::socket m_socket;
};

class tls_session final : public caller_session
{
public:
    tls_session(session_host &host, tcp::socket socket, asio::ssl::context &context)
        : caller_session(host)
        , m_stream(std::move(socket), context)
    {
    }

    std::size_t pendingInput() const override { return bytesPending(m_stream.next_layer()); }
    bool canWrite() override { return isWritable(m_stream.next_layer()); }

private:
    std::shared_ptr<tls_session> self() { return std::static_pointer_cast<tls_session>(shared_from_this()); }

    asio::any_io_executor executor() override { return m_stream.get_executor(); }
    void handshake() override
    {
        m_stream.async_handshake(asio::ssl::stream_base::server, [self = self()](const boost::system::error_code &error) {
            if (error) {
                self->close(close_reason::HandshakeFailed);
            } else {
                self->ready();
            }
        });
    }
    void read(asio::mutable_buffer buffer) override
    {
        m_stream.async_read_some(buffer, [self = self()](const boost::system::error_code &error, std::size_t size) { self->onRead(error, size); });
    }
    void write(asio::const_buffer bytes) override
    {
        m_stream.async_write_some(bytes, [self = self()](const boost::system::error_code &error, std::size_t size) { self->onWritten(error, size); });
    }
    void endOutput() override
    {
        m_stream.async_shutdown([self = self()](const boost::system::error_code &) { self->close(close_reason::LastAnswer); });
    }
    void cancelRead() override
    {
        boost::system::error_code ignored;
        m_stream.lowest_layer().cancel(ignored);
    }
    void closeSocket() override
    {
        boost::system::error_code ignored;
        m_stream.lowest_layer().close(ignored);
    }
    void setResetOnClose(bool reset) override { setLinger(m_stream.next_layer(), reset); }

    asio::ssl::stream<tcp::socket> m_stream;
};

} // namespace

http_server::http_server(asio::io_context &io, http_server_settings settings, input_sink sink, const line_logger &logger, shell_metrics &metrics)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_sink(std::move(sink))
    , m_logger(logger)
    , m_metrics(metrics)
    , m_acceptor(io)
    , m_sweepTimer(io)
    , m_acceptTimer(io)
    , m_memoryTimer(io)
{
    m_metrics.heldBytesLimit = m_settings.memory->limit();
}

http_server::~http_server()
{
    // The core may be destroyed already: the disconnects that closeAll() reports are dropped.
    m_sink = [](const input &) {};
    closeAll();
}

absl::Status http_server::listen(const std::string &address)
{
    if (auto loaded = loadTls(); !loaded.ok()) {
        return loaded;
    }
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        return makeStatus(failure::InvalidSettings, "listen: " + address + " is not IP:PORT");
    }
    try {
        m_acceptor.open(endpoint->protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(*endpoint);
        if (m_settings.limits.receiveBuffer > 0) {
            // Accepted connections inherit the size. The system doubles it for its own use.
            m_acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(m_settings.limits.receiveBuffer / 2)));
        }
        m_acceptor.listen();
    } catch (const boost::system::system_error &error) {
        return makeStatus(failure::InvalidSettings, "listen: " + address + ": " + error.code().message());
    }
    accept();
    sweepLater();
    return absl::OkStatus();
}

std::uint16_t http_server::port() const
{
    return m_acceptor.local_endpoint().port();
}

absl::Status http_server::loadTls()
{
    if (!m_settings.tls) {
        return absl::OkStatus();
    }
    try {
        m_tls.emplace(asio::ssl::context::tls_server);
        m_tls->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1);
        m_tls->use_certificate_chain_file(m_settings.tls->certificate);
        m_tls->use_private_key_file(m_settings.tls->key, asio::ssl::context::pem);
    } catch (const boost::system::system_error &error) {
        return makeStatus(failure::InvalidSettings, std::string{"tls: "} + error.what());
    }
    // Idle connections release their TLS record buffers.
    SSL_CTX_set_mode(m_tls->native_handle(), SSL_MODE_RELEASE_BUFFERS);
    return absl::OkStatus();
}

void http_server::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (!error) {
            addSession(std::move(socket));
        }
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            accept();
            return;
        }
        m_logger.write(severity::Warning, log_component::Http, "A connection could not be accepted: " + error.message() + ".");
        m_acceptTimer.expires_after(acceptRetryDelay);
        m_acceptTimer.async_wait([this](const boost::system::error_code &cancelled) {
            if (!cancelled) {
                accept();
            }
        });
    });
}

void http_server::addSession(tcp::socket socket)
{
    boost::system::error_code ignored;
    if (m_sessions.size() >= m_settings.limits.connections && !makeRoomForConnection()) {
        refuseConnection(socket);
        return;
    }
    socket.set_option(tcp::no_delay(true), ignored);
    session_host &host = *this;
    std::shared_ptr<caller_session> session;
    if (m_tls) {
        session = std::make_shared<tls_session>(host, std::move(socket), *m_tls);
    } else {
        session = std::make_shared<plain_session>(host, std::move(socket));
    }
    m_sessions.emplace(session.get(), session);
    ++m_metrics.connections;
    session->start();
}

std::vector<std::shared_ptr<caller_session>> http_server::sessionList() const
{
    std::vector<std::shared_ptr<caller_session>> sessions;
    sessions.reserve(m_sessions.size());
    std::transform(m_sessions.begin(), m_sessions.end(), std::back_inserter(sessions), [](const auto &entry) { return entry.second; });
    return sessions;
}

// Closes the connection that has rested longest, or else the one whose request arrives slowest. Connections with an open request stay.
bool http_server::makeRoomForConnection()
{
    const auto now = std::chrono::steady_clock::now();
    std::shared_ptr<caller_session> resting;
    std::shared_ptr<caller_session> slowest;
    for (const auto &[key, session] : m_sessions) {
        if (session->isIdle()) {
            const bool isCandidate = now - session->phaseStart() >= minRest && (!resting || session->phaseStart() < resting->phaseStart());
            if (isCandidate && !session->hasPendingInput()) {
                resting = session;
            }
        } else if (session->isSlowSender(now) && (!slowest || session->arrivalRate(now) < slowest->arrivalRate(now))) {
            slowest = session;
        }
    }
    const auto &chosen = resting ? resting : slowest;
    if (!chosen) {
        return false;
    }
    chosen->close(close_reason::NoDescriptor);
    return true;
}

void http_server::refuseConnection(tcp::socket &socket)
{
    ++m_metrics.connectionsRefused;
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(connectionRefusal), ignored);
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    // Unread bytes would make the close reset the connection, which could destroy the answer.
    std::array<char, 4096> discarded{};
    socket.read_some(asio::buffer(discarded), ignored);
    socket.close(ignored);
}

void http_server::waitForMemory(caller_session &session)
{
    ++m_metrics.bodiesPaused;
    m_waitingForMemory.push_back(session.weak_from_this());
    scheduleMemoryRetry();
}

void http_server::scheduleMemoryRetry()
{
    if (std::exchange(m_memoryRetryScheduled, true)) {
        return;
    }
    m_memoryTimer.expires_after(memoryRetryInterval);
    m_memoryTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_memoryRetryScheduled = false;
        relieveMemory();
        retryWaitingBodies();
    });
}

// The oldest go on first. While there is no room for the oldest, those that have waited long are refused, the newest first.
void http_server::retryWaitingBodies()
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<caller_session>> waiting;
    std::size_t missing = 0;
    for (const auto &each : std::exchange(m_waitingForMemory, {})) {
        if (auto session = each.lock(); session && session->isWaitingForMemory()) {
            missing += session->missingMemory();
            waiting.push_back(std::move(session));
        }
    }
    const auto freeBytes = [&memory = *m_settings.memory] { return memory.largeBodyLimit() - std::min(memory.largeBodyLimit(), memory.held()); };
    if (const auto room = freeBytes(); missing > room) {
        refuseSlowSenders(missing - room);
    }
    std::erase_if(waiting, [](const auto &session) { return session->retryBody(); });
    std::sort(waiting.begin(), waiting.end(), [](const auto &left, const auto &right) { return left->phaseStart() < right->phaseStart(); });
    std::vector<std::shared_ptr<caller_session>> kept;
    for (auto it = waiting.rbegin(); it != waiting.rend(); ++it) {
        const auto waited = now - (*it)->waitsSince();
        const bool oldestHasRoom = waiting.front()->missingMemory() <= freeBytes();
        if (waited >= longestMemoryWait || (waited >= maxMemoryWait && !oldestHasRoom)) {
            ++m_metrics.bodiesRefused;
            (*it)->refuseForMemory("this VM holds as many bytes of requests as its memory allows");
        } else {
            kept.push_back(*it);
        }
    }
    m_waitingForMemory.insert(m_waitingForMemory.begin(), kept.rbegin(), kept.rend());
    if (!m_waitingForMemory.empty()) {
        scheduleMemoryRetry();
    }
    returnFreedMemory(now);
    reportLimits(now);
}

// Returns the pages between the blocks in use to the system. Otherwise what a crowd of small bodies has left stays with the process while large ones take
// the budget.
void http_server::returnFreedMemory(std::chrono::steady_clock::time_point now)
{
    if (now - m_memoryReturnedAt >= memoryReturnInterval) {
        m_memoryReturnedAt = now;
        ::malloc_trim(0);
    }
}

// Refuses the requests that arrive slowest until so many bytes are free.
void http_server::refuseSlowSenders(std::size_t bytes)
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::pair<double, std::shared_ptr<caller_session>>> slow;
    for (const auto &[key, session] : m_sessions) {
        if (session->isSlowSender(now)) {
            slow.emplace_back(session->arrivalRate(now), session);
        }
    }
    std::sort(slow.begin(), slow.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const auto &[rate, session] : slow) {
        const auto held = session->heldBytes();
        ++m_metrics.slowBodiesRefused;
        session->refuseForMemory("the request arrived slowly, and its memory is needed for others");
        if (held >= bytes) {
            return;
        }
        bytes -= held;
    }
}

void http_server::onBytesHeld()
{
    m_metrics.heldBytes = m_settings.memory->held();
    if (!m_settings.memory->isExceeded() || m_reliefPosted) {
        return;
    }
    m_reliefPosted = true;
    asio::post(m_io, [this, alive = std::weak_ptr<char>(m_alive)] {
        if (alive.lock()) {
            m_reliefPosted = false;
            relieveMemory();
        }
    });
}

// Answers cannot be refused once they have arrived: the connections whose callers take none of them are closed, the slowest first.
void http_server::relieveMemory()
{
    const auto &memory = *m_settings.memory;
    if (!memory.isExceeded()) {
        return;
    }
    refuseSlowSenders(memory.held() - memory.limit());
    std::vector<std::shared_ptr<caller_session>> stalled;
    for (const auto &[key, session] : m_sessions) {
        if (session->isStalledReader()) {
            stalled.push_back(session);
        }
    }
    std::sort(stalled.begin(), stalled.end(), [](const auto &left, const auto &right) { return left->lastWriteStart() < right->lastWriteStart(); });
    for (const auto &session : stalled) {
        if (!memory.isExceeded()) {
            break;
        }
        ++m_metrics.slowCallers;
        session->close(close_reason::NoMemory);
    }
    if (memory.isExceeded()) {
        scheduleMemoryRetry();
    }
    reportLimits(std::chrono::steady_clock::now());
}

// Logs at most one line a second about limits that were reached.
void http_server::reportLimits(std::chrono::steady_clock::time_point now)
{
    m_metrics.heldBytes = m_settings.memory->held();
    const auto closed = [this](close_reason reason) { return m_metrics.closedConnections[static_cast<std::size_t>(reason)]; };
    const auto forDescriptors = m_metrics.connectionsRefused + closed(close_reason::NoDescriptor);
    const auto events = m_metrics.bodiesPaused + m_metrics.bodiesRefused + m_metrics.slowBodiesRefused + closed(close_reason::NoMemory) + forDescriptors;
    if (events == m_reportedEvents || now - m_reportedAt < reportInterval) {
        return;
    }
    m_reportedEvents = events;
    m_reportedAt = now;
    m_logger.write(severity::Warning,
                   log_component::Http,
                   "A limit was reached: held_bytes=" + std::to_string(m_settings.memory->held()) + " limit=" + std::to_string(m_settings.memory->limit())
                       + " bodies_paused=" + std::to_string(m_metrics.bodiesPaused) + " bodies_refused=" + std::to_string(m_metrics.bodiesRefused)
                       + " slow_bodies_refused=" + std::to_string(m_metrics.slowBodiesRefused)
                       + " slow_readers_closed=" + std::to_string(closed(close_reason::NoMemory)) + " connections=" + std::to_string(m_sessions.size())
                       + " connections_refused=" + std::to_string(m_metrics.connectionsRefused)
                       + " connections_closed_for_others=" + std::to_string(closed(close_reason::NoDescriptor)) + '.');
}

std::shared_ptr<caller_session> http_server::sessionOf(caller_id caller)
{
    const auto it = m_callers.find(caller);
    return it == m_callers.end() ? nullptr : it->second->shared_from_this();
}

void http_server::run(const request_admitted &command)
{
    if (const auto session = sessionOf(command.caller)) {
        session->setLabel(command.label);
    }
}

void http_server::run(const request_relabelled &command)
{
    if (const auto session = sessionOf(command.caller)) {
        session->setLabel(command.label);
    }
}

void http_server::run(const answer_token &command)
{
    const auto it = m_callers.find(command.caller);
    if (it != m_callers.end()) {
        it->second->writeToken(command.text);
    }
}

void http_server::run(const answer_done &command)
{
    if (const auto session = sessionOf(command.caller)) {
        session->finishCompletion(command);
    }
}

void http_server::run(const answer_failure &command)
{
    if (const auto session = sessionOf(command.caller)) {
        session->failRequest(command);
    }
}

void http_server::run(const answer_plain &command)
{
    if (const auto session = sessionOf(command.caller)) {
        session->writePlainAnswer(command);
    }
}

void http_server::run(const answer_stream_head &command)
{
    if (const auto session = sessionOf(command.caller)) {
        session->writeStreamHead(command);
    }
}

void http_server::run(const answer_stream_bytes &command)
{
    if (const auto session = sessionOf(command.caller)) {
        session->writeStreamBytes(command.bytes);
    }
}

void http_server::run(const answer_stream_end &command)
{
    if (const auto session = sessionOf(command.caller)) {
        session->endStream();
    }
}

void http_server::run(const abort_answer &command)
{
    if (const auto session = sessionOf(command.caller)) {
        session->abortAnswer();
    }
}

void http_server::setBounds(const caller_bounds &bounds)
{
    m_settings.limits.headerSize = bounds.headerSize;
    m_settings.limits.bodySize = bounds.bodySize;
    m_settings.limits.idleTime = bounds.idleTime;
}

bool http_server::countConnection(const key_digest &key)
{
    auto &count = m_connectionsOfKey[key];
    if (count >= m_settings.limits.connectionsPerAccount) {
        return false;
    }
    ++count;
    return true;
}

void http_server::uncountConnection(const key_digest &key)
{
    const auto it = m_connectionsOfKey.find(key);
    if (it != m_connectionsOfKey.end() && --it->second <= 0) {
        m_connectionsOfKey.erase(it);
    }
}

caller_id http_server::registerCaller(caller_session &session)
{
    m_callers.emplace(++m_lastCaller, &session);
    return m_lastCaller;
}

void http_server::submit(caller_request request)
{
    m_sink(std::move(request));
}

void http_server::onAnswered(caller_id caller, int status)
{
    m_callers.erase(caller);
    ++m_metrics.responses[status];
}

void http_server::onCallerDisconnected(caller_id caller)
{
    m_callers.erase(caller);
    ++m_metrics.callersDisconnected;
    m_sink(caller_disconnected{caller});
}

void http_server::onClosed(caller_session &session, close_reason reason, const unfinished_work &work)
{
    --m_metrics.connections;
    ++m_metrics.closedConnections[static_cast<std::size_t>(reason)];
    if (reason != close_reason::CallerClosed && (work.requestOpen || work.unreadInput > 0 || work.unwrittenOutput > 0)) {
        ++m_metrics.connectionsCut;
        m_logger.write(severity::Warning,
                       log_component::Http,
                       "A connection was closed with unfinished work: reason=" + std::string(nameOf(reason))
                           + " request_open=" + (work.requestOpen ? "yes" : "no") + " unread_bytes=" + std::to_string(work.unreadInput)
                           + " unwritten_bytes=" + std::to_string(work.unwrittenOutput) + '.');
    }
    m_sessions.erase(&session);
}

void http_server::sweepLater()
{
    m_sweepTimer.expires_after(std::min(maxSweepInterval, m_settings.limits.idleTime / sweepsPerIdleTime));
    m_sweepTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        // A copy is iterated, as a sweep may close sessions, which removes them from m_sessions.
        for (const auto &session : sessionList()) {
            session->sweep(now);
        }
        relieveMemory();
        reportLimits(now);
        sweepLater();
    });
}

void http_server::stopListening()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
}

// Accepts the connections that wait in the queue, as their requests may have been sent already.
void http_server::acceptPending()
{
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_io);
        m_acceptor.accept(socket, error);
        if (!error) {
            addSession(std::move(socket));
        }
    }
}

void http_server::closeIdle()
{
    m_closesAtRest = true;
    acceptPending();
    stopListening();
    std::vector<std::shared_ptr<caller_session>> idle;
    for (const auto &[key, session] : m_sessions) {
        if (session->isIdle() && !session->hasPendingInput()) {
            idle.push_back(session);
        }
    }
    for (const auto &session : idle) {
        session->closeUnlessRead(close_reason::VmStopping);
    }
}

void http_server::closeAll()
{
    stopListening();
    m_sweepTimer.cancel();
    m_memoryTimer.cancel();
    while (!m_sessions.empty()) {
        const auto session = m_sessions.begin()->second;
        session->close(close_reason::VmStopping);
    }
}

void http_server::refuseArriving()
{
    std::vector<std::shared_ptr<caller_session>> arriving;
    for (const auto &[key, session] : m_sessions) {
        if (session->isReceiving()) {
            arriving.push_back(session);
        }
    }
    for (const auto &session : arriving) {
        session->refuseArriving();
    }
}

bool http_server::isReceiving() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [](const auto &entry) { return entry.second->isReceiving(); });
}

bool http_server::flushed() const
{
    return std::none_of(m_sessions.begin(), m_sessions.end(), [](const auto &entry) {
        return entry.second->hasOutput() || entry.second->isDiscarding() || entry.second->isReceiving();
    });
}

} // namespace plantainpoint
