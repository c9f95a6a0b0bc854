// Stand-in for the store of the users' platform. It keeps topics of records with offsets, returns the newest record of each key,
// and simulates faults on request.
#include <map>

#include "standin_main.hpp"

namespace {

using namespace plantainpoint::standin;
using clock_type = std::chrono::steady_clock;

constexpr auto pollInterval = milliseconds{5}; // Time between checks while a request waits.
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;

std::string toBigEndian(std::uint64_t value, std::size_t size)
{
    constexpr unsigned bitsPerByte = 8;
    std::string encoded;
    for (std::size_t i = size; i-- > 0;) {
        encoded += static_cast<char>(value >> (i * bitsPerByte) & 0xffU);
    }
    return encoded;
}

std::uint64_t fromBigEndian(std::string_view bytes)
{
    constexpr unsigned bitsPerByte = 8;
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = value << bitsPerByte | static_cast<unsigned char>(byte);
    }
    return value;
}

std::string base64(std::string_view bytes)
{
    std::string encoded(beast::detail::base64::encoded_size(bytes.size()), '\0');
    encoded.resize(beast::detail::base64::encode(encoded.data(), bytes.data(), bytes.size()));
    return encoded;
}

// The log of a topic with one partition. Records before `firstOffset` count as expired.
struct topic_log {
    std::vector<std::string> records;
    std::uint64_t firstOffset = 0;

    std::uint64_t endOffset() const { return records.size(); }
};

class store_service
{
public:
    void addRoutes(http_service &service)
    {
        service.route("POST", "/control", [this](exchange &call) { return control(call); });
        service.route("POST", "/api/log-append", [this](exchange &call) { return append(call); });
        service.route("GET", "/api/log-read", [this](exchange &call) { return read(call); });
        service.route("GET", "/api/log-newest", [this](exchange &call) { return readNewest(call); });
    }

private:
    // Sets the simulated faults. The fields of the request are:
    // - mode: "up", "busy", "silent" or "reset".
    // - lose_answers: The number of appends that are stored but get no response.
    // - forget: Expires all records of all topics if true.
    // - copy: Copies all topics if true. The copy takes no more records.
    // - restore: Returns to the copy and begins a new era if true.
    asio::awaitable<void> control(exchange &call)
    {
        const auto body = call.jsonBody();
        m_mode = body.value("mode", m_mode);
        m_responsesToLose = body.value("lose_answers", m_responsesToLose);
        if (body.value("forget", false)) {
            for (auto &[topicName, topicLog] : m_topics) {
                topicLog.firstOffset = topicLog.endOffset();
            }
        }
        if (body.value("copy", false)) {
            m_copy = m_topics;
        }
        if (body.value("restore", false)) {
            m_topics = m_copy;
            ++m_era;
        }
        const auto response = nlohmann::json::object();
        co_await call.reply(200, response);
    }

    // Applies the current fault mode to a request and waits while the mode is "silent".
    // Returns true if the request is already answered or its connection is closed.
    asio::awaitable<bool> applyFault(exchange &call)
    {
        if (m_mode == "busy") {
            addEra(call);
            co_await call.replyError(503, "busy");
            co_return true;
        }
        while (m_mode == "silent") {
            co_await sleepFor(pollInterval);
        }
        if (m_mode == "reset") {
            call.dropConnection();
            co_return true;
        }
        addEra(call);
        co_return false;
    }

    void addEra(exchange &call) const { call.addHeader("Store-Era", std::to_string(m_era)); }

    asio::awaitable<void> append(exchange &call)
    {
        const bool handled = co_await applyFault(call);
        if (handled) {
            co_return;
        }
        auto &log = m_topics[call.queryText("topic")];
        const auto expectedOffset = call.queryNumber("at", -1);
        if (expectedOffset >= 0 && static_cast<std::uint64_t>(expectedOffset) != log.endOffset()) {
            const nlohmann::json response{{"end", log.endOffset()}};
            co_await call.reply(412, response);
            co_return;
        }
        const auto offset = log.endOffset();
        std::string_view remaining = call.request().body();
        while (remaining.size() >= lengthBytes) {
            const auto size = fromBigEndian(remaining.substr(0, lengthBytes));
            log.records.emplace_back(remaining.substr(lengthBytes, size));
            remaining.remove_prefix(std::min(lengthBytes + size, remaining.size()));
        }
        if (m_responsesToLose > 0) {
            --m_responsesToLose;
            call.dropConnection();
            co_return;
        }
        const nlohmann::json response{{"offset", offset}, {"end", log.endOffset()}};
        co_await call.reply(200, response);
    }

    asio::awaitable<void> read(exchange &call)
    {
        const bool handled = co_await applyFault(call);
        if (handled) {
            co_return;
        }
        const auto topicName = call.queryText("topic");
        const auto fromOffset = static_cast<std::uint64_t>(call.queryNumber("from", 0));
        const auto deadline = clock_type::now() + milliseconds(call.queryNumber("wait_ms", 0));
        while (m_topics[topicName].endOffset() <= fromOffset && clock_type::now() < deadline && m_mode == "up") {
            co_await sleepFor(pollInterval);
        }
        const auto &log = m_topics[topicName];
        if (fromOffset < log.firstOffset || fromOffset > log.endOffset()) {
            const nlohmann::json response{{"first", log.firstOffset}};
            co_await call.reply(410, response);
            co_return;
        }
        std::string body = toBigEndian(log.endOffset(), offsetBytes) + toBigEndian(log.firstOffset, offsetBytes);
        for (auto offset = fromOffset; offset < log.endOffset(); ++offset) {
            body += toBigEndian(log.records[offset].size(), lengthBytes) + log.records[offset];
        }
        const std::string contentType = "application/octet-stream";
        co_await call.reply(200, body, contentType);
    }

    asio::awaitable<void> readNewest(exchange &call)
    {
        const bool handled = co_await applyFault(call);
        if (handled) {
            co_return;
        }
        const auto &log = m_topics[call.queryText("topic")];
        std::map<std::string, std::pair<std::string, std::uint64_t>> latest;
        for (std::uint64_t offset = 0; offset < log.endOffset(); ++offset) {
            const std::string_view record = log.records[offset];
            const auto keySize = static_cast<unsigned char>(record.front());
            const std::string key(record.substr(1, keySize));
            latest.erase(key);
            if (record.size() > 1UL + keySize) {
                latest.emplace(key, std::pair(std::string(record.substr(1 + keySize)), offset));
            }
        }
        nlohmann::json items = nlohmann::json::array();
        for (const auto &[key, value] : latest) {
            items.push_back({{"key", key}, {"value", base64(value.first)}, {"offset", value.second}});
        }
        const nlohmann::json response{{"items", std::move(items)}, {"has_more", false}, {"end", log.endOffset()}};
        co_await call.reply(200, response);
    }

    std::map<std::string, topic_log> m_topics;
    std::map<std::string, topic_log> m_copy;
    std::uint64_t m_era = 1; // Rises each time the store comes back from a copy.
    std::string m_mode = "up";
    int m_responsesToLose = 0;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Stand-in for the store of the users' platform", ' ', std::string(plantainpoint::version()));
    store_service store;
    return runStandin(commandLine, argc, argv, [&](asio::io_context &, http_service &service) { store.addRoutes(service); });
}
