// Checks of a single service that need no knowledge of other services.
#include <arpa/inet.h>

#include <charconv>
#include <cmath>
#include <set>

#include "plantainpoint/config.hpp"

namespace plantainpoint {

namespace {

constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxModelNameBytes = 128;
constexpr std::size_t maxPathBytes = 512;
// Bucket shares of a limit are counted in micro-tokens. These bounds keep sums over all VMs far below overflow.
constexpr std::int64_t maxRequests = 1'000'000;
constexpr std::int64_t maxMicroTokens = maxRequests * microTokensPerRequest;
constexpr std::int32_t maxTokens = 10'000'000;
constexpr std::chrono::milliseconds maxDeadline = std::chrono::hours(1);

bool hasOnlyAlphanumericsAnd(std::string_view text, std::string_view extra)
{
    return std::all_of(text.begin(), text.end(), [&](char c) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        const bool digit = c >= '0' && c <= '9';
        return letter || digit || extra.find(c) != std::string_view::npos;
    });
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes && hasOnlyAlphanumericsAnd(text, "-_.");
}

bool isModelName(std::string_view text)
{
    return !text.empty() && text.size() <= maxModelNameBytes && hasOnlyAlphanumericsAnd(text, "-_.:/@");
}

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc{} && end == text.data() + text.size() && port != 0;
}

bool isAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !isPort(std::string_view(text).substr(colon + 1))) {
        return false;
    }
    std::string host = text.substr(0, colon);
    in6_addr address{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), &address) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

bool isMethod(std::string_view text)
{
    constexpr std::string_view methods[]{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
    return std::find(std::begin(methods), std::end(methods), text) != std::end(methods);
}

bool isRoutePath(std::string_view text)
{
    if (text.empty() || text.size() > maxPathBytes || text.front() != '/') {
        return false;
    }
    const auto asterisk = text.find('*');
    const bool asteriskIsLast = asterisk == std::string_view::npos || asterisk + 1 == text.size();
    const bool printable = std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f' && c != '?' && c != '#'; });
    return asteriskIsLast && printable;
}

// Collects the problems of one service.
class problem_finder
{
public:
    explicit problem_finder(const service_config &service)
        : m_service(service)
    {
    }

    std::vector<config_problem> run()
    {
        require(isName(m_service.name.value), "name", "is not a name of letters, digits, '-', '_' and '.'");
        require(std::isfinite(m_service.fairness) && m_service.fairness >= 0 && m_service.fairness <= 1, "fairness", "is not between 0 and 1");
        requireTime(m_service.firstTokenTarget, "first_token_target_ms");
        requireTime(m_service.tokenIntervalTarget, "token_interval_target_ms");
        checkEach("routes", m_service.routes, &problem_finder::checkRoute);
        checkEach("models", m_service.models, &problem_finder::checkModel);
        checkEach("endpoints", m_service.endpoints, &problem_finder::checkEndpoint);
        checkEach("accounts", m_service.accounts, &problem_finder::checkAccount);
        checkEach("clients", m_service.clients, &problem_finder::checkClient);
        checkEach("keys", m_service.keys, &problem_finder::checkKey);
        return std::move(m_problems);
    }

private:
    template<class Item>
    void checkEach(const std::string &list, const std::vector<Item> &items, void (problem_finder::*check)(const std::string &, const Item &))
    {
        for (std::size_t i = 0; i < items.size(); ++i) {
            (this->*check)(list + "[" + std::to_string(i) + "]", items[i]);
        }
    }

    void require(bool condition, std::string field, std::string text)
    {
        if (!condition) {
            m_problems.push_back({std::move(field), std::move(text)});
        }
    }

    template<class Number>
    void requireRange(Number value, Number minimum, Number maximum, const std::string &field)
    {
        require(value >= minimum && value <= maximum, field, "is not between " + std::to_string(minimum) + " and " + std::to_string(maximum));
    }

    void requireTime(std::chrono::milliseconds value, const std::string &field) { requireRange<std::int64_t>(value.count(), 1, maxDeadline.count(), field); }

    void requireUnique(std::set<std::string> &seen, const std::string &value, const std::string &field)
    {
        require(seen.insert(value).second, field, "is used twice in this service");
    }

    void checkRoute(const std::string &field, const route &entry)
    {
        require(isMethod(entry.method), field + ".method", "is not an HTTP method");
        require(isRoutePath(entry.path), field + ".path", "is not an absolute path with '*' at most at its end");
        requireTime(entry.deadline, field + ".deadline_ms");
        requireUnique(m_routes, entry.method + " " + entry.path, field + ".path");
    }

    void checkModel(const std::string &field, const model_entry &entry)
    {
        require(isModelName(entry.name.value), field + ".name", "is not a model name");
        require(entry.version.empty() || isModelName(entry.version), field + ".version", "is not a version name");
        require(entry.adapter.empty() || isModelName(entry.adapter), field + ".adapter", "is not an adapter name");
        requireRange(entry.maxPromptTokens, 1, maxTokens, field + ".max_prompt_tokens");
        requireRange(entry.maxOutputTokens, 1, maxTokens, field + ".max_output_tokens");
        requireUnique(m_models, entry.name.value, field + ".name");
    }

    bool definesModel(const model_name &name) const
    {
        return std::any_of(m_service.models.begin(), m_service.models.end(), [&](const model_entry &entry) { return entry.name == name; });
    }

    void checkEndpoint(const std::string &field, const endpoint &entry)
    {
        require(isName(entry.name.value), field + ".name", "is not a name of letters, digits, '-', '_' and '.'");
        require(isAddress(entry.address), field + ".address", "is not IP:PORT");
        require(isName(entry.dataCentre.value), field + ".data_centre", "is not a name");
        require(isName(entry.region.value), field + ".region", "is not a name");
        if (entry.role == endpoint_role::Plain) {
            require(entry.model.empty(), field + ".model", "is given although the endpoint is plain");
        } else {
            require(definesModel(entry.model), field + ".model", "is not a model of this service");
        }
        requireRange(entry.slots, 1, 100'000, field + ".slots");
        requireRange(entry.kvBlocks, 1, 1'000'000, field + ".pieces");
        requireRange<std::int64_t>(entry.prefillTokensPerSecond, 1, 1'000'000'000, field + ".prefill_tokens_per_second");
        requireRange<std::int64_t>(entry.linkBytesPerSecond, 1, 1'000'000'000'000'000, field + ".link_bytes_per_second");
        requireRange<std::int64_t>(entry.kvBytesPerToken, 1, 1'000'000'000, field + ".kv_bytes_per_token");
        requireUnique(m_endpoints, entry.name.value, field + ".name");
    }

    void checkAccount(const std::string &field, const client_account &entry)
    {
        require(isName(entry.name.value), field + ".name", "is not a name of letters, digits, '-', '_' and '.'");
        // A rate of 0 suspends an account. A burst of less than one request would refuse every request.
        requireRange<std::int64_t>(entry.limit.rate, 0, maxMicroTokens, field + ".limit.rate");
        requireRange<std::int64_t>(entry.limit.burst, microTokensPerRequest, maxMicroTokens, field + ".limit.burst");
        requireRange(entry.maxConnections, 1, 1'000'000, field + ".max_connections");
        requireUnique(m_accounts, entry.name.value, field + ".name");
    }

    void checkClient(const std::string &field, const account_name &name)
    {
        require(isName(name.value), field, "is not a name of letters, digits, '-', '_' and '.'");
        requireUnique(m_clients, name.value, field);
    }

    // Only the service that defines an account may issue keys for it.
    void checkKey(const std::string &field, const account_key &entry)
    {
        require(isName(entry.id), field + ".id", "is not a name of letters, digits, '-', '_' and '.'");
        require(m_accounts.contains(entry.account.value), field + ".account", "is not an account of this service");
        requireUnique(m_keyIds, entry.id, field + ".id");
        requireUnique(m_digests, toHex(entry.digest), field + ".digest");
    }

    const service_config &m_service;
    std::vector<config_problem> m_problems;
    std::set<std::string> m_routes;
    std::set<std::string> m_models;
    std::set<std::string> m_endpoints;
    std::set<std::string> m_accounts;
    std::set<std::string> m_clients;
    std::set<std::string> m_keyIds;
    std::set<std::string> m_digests;
};

} // namespace

std::vector<config_problem> findProblems(const service_config &service)
{
    return problem_finder(service).run();
}

} // namespace plantainpoint
