// broken variants of the core: each breaks one guarantee, so that the oracle can be shown to notice
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "world.hpp"

namespace plantainpoint::fuzz {

// a mutation sees every message before the core and every command after it
struct no_mutation {
    // false drops the message
    bool before(input &, vm_core &) { return true; }
    // appends what leaves in place of the command
    void after(command value, std::vector<command> &out) { out.push_back(std::move(value)); }
};

// P1: cancels are lost
struct cancels_dropped : no_mutation {
    void after(command value, std::vector<command> &out)
    {
        if (!std::holds_alternative<cancel_attempt>(value)) {
            out.push_back(std::move(value));
        }
    }
};

// P2: the terminal answer is sent twice
struct answers_twice : no_mutation {
    void after(command value, std::vector<command> &out)
    {
        if (std::holds_alternative<answer_done>(value) || std::holds_alternative<answer_plain>(value)) {
            out.push_back(value);
        }
        out.push_back(std::move(value));
    }
};

// P3: every request runs for the account of the first key seen
struct wrong_account : no_mutation {
    std::optional<key_digest> first;

    bool before(input &message, vm_core &)
    {
        if (auto *const request = std::get_if<caller_request>(&message); request != nullptr && request->key) {
            first = first ? first : request->key;
            request->key = first;
        }
        return true;
    }
};

// P4: the key is forwarded
struct forwards_key : no_mutation {
    std::string key;

    bool before(input &message, vm_core &)
    {
        if (const auto *const request = std::get_if<caller_request>(&message); request != nullptr && request->key) {
            key = toHex(*request->key);
        }
        return true;
    }

    void after(command value, std::vector<command> &out)
    {
        if (auto *const dispatch = std::get_if<dispatch_plain>(&value); dispatch != nullptr && !key.empty()) {
            dispatch->headers.push_back({"Authorization", key});
        }
        out.push_back(std::move(value));
    }
};

// P5: a key that worked once keeps the connection usable: another valid key of the account stands in for it
struct withdrawal_ignored : no_mutation {
    bool before(input &message, vm_core &)
    {
        auto *const request = std::get_if<caller_request>(&message);
        if (request != nullptr && request->key == digestOf("key-text-a1")) {
            request->key = digestOf("key-text-a2");
        }
        return true;
    }
};

// P7: the second token of every answer is lost
struct token_skipped : no_mutation {
    void after(command value, std::vector<command> &out)
    {
        const auto *const token = std::get_if<answer_token>(&value);
        if (token == nullptr || token->position != 1) {
            out.push_back(std::move(value));
        }
    }
};

// P8: every failure is reported as not run
struct always_not_run : no_mutation {
    void after(command value, std::vector<command> &out)
    {
        if (auto *const failure = std::get_if<answer_failure>(&value); failure != nullptr) {
            failure->result = outcome::NotRun;
        }
        out.push_back(std::move(value));
    }
};

// P9: a booking whose answer is lost is dispatched again
struct booking_retried : no_mutation {
    std::vector<dispatch_plain> sent;
    std::vector<dispatch_plain> again;

    bool before(input &message, vm_core &)
    {
        const auto *const failed = std::get_if<attempt_failed>(&message);
        if (failed == nullptr || !failed->mayHaveRun) {
            return true;
        }
        const auto found = std::find_if(sent.begin(), sent.end(), [&](const dispatch_plain &value) { return value.attempt == failed->attempt; });
        if (found == sent.end()) {
            return true;
        }
        again.push_back(*found);
        sent.erase(found);
        return true;
    }

    void after(command value, std::vector<command> &out)
    {
        const auto *const dispatch = std::get_if<dispatch_plain>(&value);
        if (dispatch != nullptr && dispatch->method == "POST") {
            sent.push_back(*dispatch);
        }
        out.push_back(std::move(value));
        for (auto &repeated : again) {
            out.emplace_back(std::move(repeated));
        }
        again.clear();
    }
};

// P10: work keeps going to the first plain endpoint that was used
struct drain_ignored : no_mutation {
    std::optional<std::pair<endpoint_name, std::string>> first;

    void after(command value, std::vector<command> &out)
    {
        if (auto *const dispatch = std::get_if<dispatch_plain>(&value); dispatch != nullptr) {
            first = first ? first : std::pair{dispatch->endpoint, dispatch->address};
            dispatch->endpoint = first->first;
            dispatch->address = first->second;
        }
        out.push_back(std::move(value));
    }
};

// P11: a shutdown does not wait for open requests
struct shutdown_at_once : no_mutation {
    bool asked = false;

    bool before(input &message, vm_core &)
    {
        asked = asked || std::holds_alternative<shutdown_requested>(message);
        return true;
    }

    void after(command value, std::vector<command> &out)
    {
        out.push_back(std::move(value));
        if (std::exchange(asked, false)) {
            out.emplace_back(stopped{});
        }
    }
};

// P12: entries of the log are not applied any more after the start
struct configuration_frozen : no_mutation {
    bool before(input &message, vm_core &core)
    {
        if (auto *const read = std::get_if<log_read>(&message); read != nullptr && core.ready()) {
            read->entries.clear();
            return true;
        }
        if (const auto *const peer = std::get_if<peer_received>(&message); peer != nullptr && core.ready()) {
            return !std::holds_alternative<log_relay>(peer->message.body);
        }
        return true;
    }
};

// the product's core with a mutation around it
template<class Mutation>
class mutated_core final : public tested_core
{
public:
    mutated_core(const vm_settings &settings, const clock_source &clock, const wall_clock_source &wallClock)
        : m_core(settings, clock, wallClock)
    {
    }

    void handle(input message) override
    {
        if (m_mutation.before(message, m_core)) {
            m_core.handle(std::move(message));
        }
    }

    void tick() override { m_core.tick(); }

    std::vector<command> take() override
    {
        std::vector<command> out;
        for (auto &value : m_core.take()) {
            m_mutation.after(std::move(value), out);
        }
        return out;
    }

    time_point nextTick() const override { return m_core.nextTick(); }
    bool ready() const override { return m_core.ready(); }
    incarnation_id self() const override { return m_core.self(); }
    nlohmann::json status() const override { return m_core.status(); }

private:
    vm_core m_core;
    Mutation m_mutation;
};

template<class Mutation>
core_factory factoryOf()
{
    return [](const vm_settings &settings, const clock_source &clock, const wall_clock_source &wallClock) -> std::unique_ptr<tested_core> {
        return std::make_unique<mutated_core<Mutation>>(settings, clock, wallClock);
    };
}

// P6: this VM's clock runs at three times the speed, so that its bucket shares fill too fast
class fast_clock final : public clock_source
{
public:
    explicit fast_clock(const clock_source &clock)
        : m_clock(clock)
    {
    }
    time_point now() const override { return time_point(m_clock.now().time_since_epoch() * factor); }
    static constexpr int factor = 3;

private:
    const clock_source &m_clock;
};

class fast_core final : public tested_core
{
public:
    fast_core(const vm_settings &settings, const clock_source &clock, const wall_clock_source &wallClock)
        : m_clock(clock)
        , m_core(settings, m_clock, wallClock)
    {
    }

    void handle(input message) override
    {
        if (auto *const read = std::get_if<log_read>(&message); read != nullptr) {
            read->sentAt = time_point(read->sentAt.time_since_epoch() * fast_clock::factor);
        }
        m_core.handle(std::move(message));
    }
    void tick() override { m_core.tick(); }
    std::vector<command> take() override { return m_core.take(); }
    time_point nextTick() const override { return time_point(m_core.nextTick().time_since_epoch() / fast_clock::factor); }
    bool ready() const override { return m_core.ready(); }
    incarnation_id self() const override { return m_core.self(); }
    nlohmann::json status() const override { return m_core.status(); }

private:
    fast_clock m_clock;
    vm_core m_core;
};

struct mutant_entry {
    std::string_view guarantee;
    std::string_view name;
    core_factory factory;
};

inline std::vector<mutant_entry> allMutants()
{
    const core_factory fast = [](const vm_settings &settings, const clock_source &clock, const wall_clock_source &wallClock) -> std::unique_ptr<tested_core> {
        return std::make_unique<fast_core>(settings, clock, wallClock);
    };
    return {{"P1", "cancels_dropped", factoryOf<cancels_dropped>()},
            {"P2", "answers_twice", factoryOf<answers_twice>()},
            {"P3", "wrong_account", factoryOf<wrong_account>()},
            {"P4", "forwards_key", factoryOf<forwards_key>()},
            {"P5", "withdrawal_ignored", factoryOf<withdrawal_ignored>()},
            {"P6", "fast_clock", fast},
            {"P7", "token_skipped", factoryOf<token_skipped>()},
            {"P8", "always_not_run", factoryOf<always_not_run>()},
            {"P9", "booking_retried", factoryOf<booking_retried>()},
            {"P10", "drain_ignored", factoryOf<drain_ignored>()},
            {"P11", "shutdown_at_once", factoryOf<shutdown_at_once>()},
            {"P12", "configuration_frozen", factoryOf<configuration_frozen>()}};
}

} // namespace plantainpoint::fuzz
