// stand-in of the users' platform store: topics of records with offsets, the newest record of each key, and faults by request
#include <map>

#include "standin_main.hpp"

namespace {

using namespace plantainpoint::standin;
using clock_type = std::chrono::steady_clock;

constexpr auto pollInterval = milliseconds{5}; // of a read that waits
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;

std::string bigEndian(std::uint64_t value, std::size_t size)
{
    constexpr unsigned bitsPerByte = 8;
    std::string out;
    for (std::size_t i = size; i-- > 0;) {
        out += static_cast<char>(value >> (i * bitsPerByte) & 0xffU);
    }
    return out;
}

std::uint64_t readBigEndian(std::string_view bytes)
{
    constexpr unsigned bitsPerByte = 8;
    std::uint64_t value = 0;
    for (const char each : bytes) {
        value = value << bitsPerByte | static_cast<unsigned char>(each);
    }
    return value;
}

std::string base64(std::string_view bytes)
{
    std::string out(beast::detail::base64::encoded_size(bytes.size()), '\0');
    out.resize(beast::detail::base64::encode(out.data(), bytes.data(), bytes.size()));
    return out;
}

// one partition; records before `first` are forgotten
struct topic {
    std::vector<std::string> records;
    std::uint64_t first = 0;

    std::uint64_t end() const { return records.size(); }
};

class store_service
{
public:
    void addRoutes(http_service &service)
    {
        service.route("POST", "/control", [this](exchange &call) { return control(call); });
        service.route("POST", "/api/log-append", [this](exchange &call) { return append(call); });
        service.route("GET", "/api/log-read", [this](exchange &call) { return read(call); });
        service.route("GET", "/api/log-newest", [this](exchange &call) { return newest(call); });
    }

private:
    // mode: up, busy, silent, reset; only: requests of one client address; lose_answers: appends that are done and not answered;
    // forget: drops the history of all topics
    asio::awaitable<void> control(exchange &call)
    {
        const auto body = call.json();
        m_mode = body.value("mode", m_mode);
        m_loseAnswers = body.value("lose_answers", m_loseAnswers);
        if (body.value("forget", false)) {
            for (auto &[name, each] : m_topics) {
                each.first = each.end();
            }
        }
        const auto answer = nlohmann::json::object();
        co_await call.reply(200, answer);
    }

    // true: the fault has answered the call, or keeps it without an answer
    asio::awaitable<bool> faulted(exchange &call)
    {
        if (m_mode == "busy") {
            co_await call.replyError(503, "busy");
            co_return true;
        }
        while (m_mode == "silent") {
            co_await pause(pollInterval);
        }
        if (m_mode == "reset") {
            call.abandon();
            co_return true;
        }
        co_return false;
    }

    asio::awaitable<void> append(exchange &call)
    {
        const bool ended = co_await faulted(call);
        if (ended) {
            co_return;
        }
        auto &log = m_topics[call.text("topic")];
        const auto expected = call.number("at", -1);
        if (expected >= 0 && static_cast<std::uint64_t>(expected) != log.end()) {
            const nlohmann::json answer{{"end", log.end()}};
            co_await call.reply(412, answer);
            co_return;
        }
        const auto offset = log.end();
        std::string_view rest = call.request().body();
        while (rest.size() >= lengthBytes) {
            const auto size = readBigEndian(rest.substr(0, lengthBytes));
            log.records.emplace_back(rest.substr(lengthBytes, size));
            rest.remove_prefix(std::min(lengthBytes + size, rest.size()));
        }
        if (m_loseAnswers > 0) {
            --m_loseAnswers;
            call.abandon();
            co_return;
        }
        const nlohmann::json answer{{"offset", offset}, {"end", log.end()}};
        co_await call.reply(200, answer);
    }

    asio::awaitable<void> read(exchange &call)
    {
        const bool ended = co_await faulted(call);
        if (ended) {
            co_return;
        }
        const auto name = call.text("topic");
        const auto from = static_cast<std::uint64_t>(call.number("from", 0));
        const auto until = clock_type::now() + milliseconds(call.number("wait_ms", 0));
        while (m_topics[name].end() <= from && clock_type::now() < until && m_mode == "up") {
            co_await pause(pollInterval);
        }
        const auto &log = m_topics[name];
        if (from < log.first) {
            const nlohmann::json answer{{"first", log.first}};
            co_await call.reply(410, answer);
            co_return;
        }
        std::string body = bigEndian(log.end(), offsetBytes) + bigEndian(log.first, offsetBytes);
        for (auto at = from; at < log.end(); ++at) {
            body += bigEndian(log.records[at].size(), lengthBytes) + log.records[at];
        }
        const std::string type = "application/octet-stream";
        co_await call.reply(200, body, type);
    }

    asio::awaitable<void> newest(exchange &call)
    {
        const bool ended = co_await faulted(call);
        if (ended) {
            co_return;
        }
        const auto &log = m_topics[call.text("topic")];
        std::map<std::string, std::pair<std::string, std::uint64_t>> latest;
        for (std::uint64_t at = 0; at < log.end(); ++at) {
            const std::string_view record = log.records[at];
            const auto keySize = static_cast<unsigned char>(record.front());
            const std::string key(record.substr(1, keySize));
            latest.erase(key);
            if (record.size() > 1UL + keySize) {
                latest.emplace(key, std::pair(std::string(record.substr(1 + keySize)), at));
            }
        }
        nlohmann::json items = nlohmann::json::array();
        for (const auto &[key, value] : latest) {
            items.push_back({{"key", key}, {"value", base64(value.first)}, {"offset", value.second}});
        }
        const nlohmann::json answer{{"items", std::move(items)}, {"has_more", false}, {"end", log.end()}};
        co_await call.reply(200, answer);
    }

    std::map<std::string, topic> m_topics;
    std::string m_mode = "up";
    int m_loseAnswers = 0;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("stand-in of the users' platform store", ' ', std::string(plantainpoint::version()));
    store_service store;
    return runStandin(line, argc, argv, [&](asio::io_context &, http_service &service) { store.addRoutes(service); });
}
