#include "peer_connection.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "address.hpp"
#include "plantainpoint/peer.hpp"

namespace plantainpoint {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr auto handshakeTimeout = std::chrono::seconds{2};
constexpr auto unusedTimeout = std::chrono::seconds{30};
constexpr auto maxWaitingAge = std::chrono::milliseconds{1000}; // Maximum age of a message that waits for the connection.
constexpr std::size_t maxQueued = 8 * 1024UL * 1024UL; // Bytes. A single larger message may be queued alone.
constexpr std::size_t maxWaiting = 1024; // Messages.
constexpr auto markInterval = std::chrono::milliseconds{1000};
constexpr auto markReportInterval = std::chrono::milliseconds{20}; // Time between two reports of the held mark.

// Returns whether a message describes only the present state and is repeated soon.
bool isTransient(const peer_body &body)
{
    return std::holds_alternative<heartbeat>(body) || std::holds_alternative<log_relay>(body);
}

std::string textOf(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

outgoing_peer::outgoing_peer(peer_context &context, vm_name peer, std::string address)
    : peer_socket(context, asio::ip::tcp::socket(context.io))
    , m_peer(std::move(peer))
    , m_address(std::move(address))
    , m_hello{context.self, makeNonce()}
    , m_startedAt(context.clock.now())
    , m_usedAt(m_startedAt)
{
}

void outgoing_peer::connect()
{
    const auto endpoint = parseAddress(m_address);
    if (!endpoint) {
        close();
        return;
    }
    const auto self = std::static_pointer_cast<outgoing_peer>(shared_from_this());
    socket().async_connect(*endpoint, [self](const boost::system::error_code &error) {
        if (self->isClosed()) {
            return;
        }
        if (error) {
            self->close();
            return;
        }
        self->setOptions();
        self->sendFrame(helloText(self->m_hello));
        self->readFrames();
    });
}

void outgoing_peer::send(const peer_message &message)
{
    m_usedAt = context().clock.now();
    if (!m_established && (isTransient(message.body) || m_waiting.size() >= maxWaiting)) {
        countDropped();
        return;
    }
    auto text = context().codec.build(std::string{methodOf(message.body)}, textOf(toJson(message)));
    if (text.empty() || text.size() > maxFrameSize || (queued() > 0 && queued() + text.size() > maxQueued)) {
        countDropped();
        return;
    }
    if (m_established) {
        sendNow(text);
    } else {
        m_waiting.push_back({std::move(text), m_usedAt});
    }
}

void outgoing_peer::sendNow(std::string_view text)
{
    const auto now = context().clock.now();
    if (m_mark != 0 && now - m_markReportedAt >= markReportInterval) {
        m_markReportedAt = now;
        sendFrame(heldMarkText({m_mark, now - m_markReceivedAt}));
    }
    sendFrame(text);
}

bool outgoing_peer::onFrame(std::string_view payload)
{
    if (!m_proofSent) {
        return onHello(payload);
    }
    if (!m_established) {
        return onProof(payload);
    }
    const auto mark = parseMark(payload);
    if (!mark) {
        return false;
    }
    m_mark = *mark;
    m_markReceivedAt = context().clock.now();
    m_markReportedAt = {};
    return true;
}

bool outgoing_peer::onHello(std::string_view payload)
{
    const auto hello = parseHello(payload);
    if (!hello || hello->vm != m_peer) {
        return false;
    }
    m_peerHello = *hello;
    m_proofSent = true;
    sendFrame(proofOf(context().fleetKey, handshake_side::Dialer, m_hello, m_peerHello));
    return true;
}

bool outgoing_peer::onProof(std::string_view payload)
{
    if (!proofsEqual(proofOf(context().fleetKey, handshake_side::Acceptor, m_hello, m_peerHello), payload)) {
        context().logger.write(severity::Warning, log_component::Peer, m_peer.value + " at " + m_address + " did not prove the fleet key.");
        return false;
    }
    m_established = true;
    const auto now = context().clock.now();
    for (const auto &each : std::exchange(m_waiting, {})) {
        if (now - each.since <= maxWaitingAge) {
            sendNow(each.text);
        } else {
            countDropped();
        }
    }
    return true;
}

void outgoing_peer::sweep()
{
    const auto now = context().clock.now();
    if ((!m_established && now - m_startedAt > handshakeTimeout) || now - m_usedAt > unusedTimeout) {
        close();
    }
}

void outgoing_peer::onClosed()
{
    m_closedAt = context().clock.now();
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
        countDropped();
    }
    m_waiting.clear();
}

void outgoing_peer::countDropped()
{
    ++context().metrics.peerMessagesDropped;
}

incoming_peer::incoming_peer(peer_context &context, asio::ip::tcp::socket socket)
    : peer_socket(context, std::move(socket))
    , m_hello{context.self, makeNonce()}
    , m_age(context.clock.now())
    , m_startedAt(context.clock.now())
{
}

void incoming_peer::start()
{
    setOptions();
    readFrames();
}

bool incoming_peer::onFrame(std::string_view payload)
{
    if (m_established) {
        return onMessage(payload);
    }
    return m_helloReceived ? onProof(payload) : onHello(payload);
}

bool incoming_peer::onHello(std::string_view payload)
{
    const auto hello = parseHello(payload);
    if (!hello) {
        return refuse("sent no valid hello");
    }
    m_peerHello = *hello;
    m_helloReceived = true;
    sendFrame(helloText(m_hello));
    return true;
}

bool incoming_peer::onProof(std::string_view payload)
{
    if (!proofsEqual(proofOf(context().fleetKey, handshake_side::Dialer, m_peerHello, m_hello), payload)) {
        return refuse("did not prove the fleet key");
    }
    m_established = true;
    allowLargeFrames();
    sendFrame(proofOf(context().fleetKey, handshake_side::Acceptor, m_peerHello, m_hello));
    m_markedAt = context().clock.now();
    sendFrame(markText(m_age.sendMark(m_markedAt)));
    return true;
}

bool incoming_peer::onMessage(std::string_view payload)
{
    if (const auto mark = parseHeldMark(payload)) {
        m_age.onHeldMark(*mark);
        return true;
    }
    const auto handleNotification = [this](const std::string &method, const std::string &parameters) { this->handleNotification(method, parameters); };
    return context().codec.dispatch(std::string{payload}, handleNotification) || refuse("sent a message that is not a known notification");
}

void incoming_peer::handleNotification(std::string_view method, const std::string &parameters)
{
    auto message = peerFromJson(method, json::parse(parameters, nullptr, false));
    if (!message.ok()) {
        context().logger.write(
            severity::Warning, log_component::Peer, "A message from " + m_peerHello.vm.value + " is malformed: " + std::string{message.status().message()});
        return;
    }
    if (message->from.vm != m_peerHello.vm) {
        context().logger.write(severity::Warning, log_component::Peer, m_peerHello.vm.value + " sent a message in the name of " + message->from.vm.value + ".");
        return;
    }
    if (!addTransitTime(*message, m_age.bound(context().clock.now()))) {
        ++context().metrics.peerMessagesDropped;
        return;
    }
    context().sink(peer_received{std::move(*message)});
}

bool incoming_peer::refuse(std::string_view why)
{
    ++context().metrics.peerConnectionsRefused;
    const std::string name = m_helloReceived ? m_peerHello.vm.value : "A peer";
    context().logger.write(severity::Warning, log_component::Peer, name + ' ' + std::string{why} + "; its connection is closed.");
    return false;
}

void incoming_peer::sweep()
{
    const auto now = context().clock.now();
    if (!m_established) {
        if (now - m_startedAt > handshakeTimeout) {
            refuse("did not finish the handshake in time");
            close();
        }
        return;
    }
    if (now - m_markedAt >= markInterval) {
        m_markedAt = now;
        sendFrame(markText(m_age.sendMark(now)));
    }
}

void incoming_peer::onClosed()
{
    context().incoming.erase(std::static_pointer_cast<incoming_peer>(shared_from_this()));
}

} // namespace plantainpoint
