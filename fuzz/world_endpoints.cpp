// engines and plain services of the world
#include "world_hosts.hpp"

namespace plantainpoint::fuzz {

world::engine_host *world::engineOf(const endpoint_name &name)
{
    const auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto &engine) { return engine->description.name == name; });
    return found == m_engines.end() ? nullptr : found->get();
}

world::engine_host *world::engineAt(const std::string &address)
{
    const auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto &engine) { return engine->description.address == address; });
    return found == m_engines.end() ? nullptr : found->get();
}

void world::reply(vm_host &host, std::uint64_t life, const attempt_label &attempt, input message)
{
    if (host.life != life || host.closed.contains(attempt)) {
        return;
    }
    if (chance(m_network.duplicate)) {
        after(jitter(milliseconds(1), milliseconds(500)), [this, &host, life, message] { deliver(host, life, message); });
    }
    if (chance(m_network.duplicate)) {
        // crossed: the answer also reaches another VM
        auto &other = *m_vms[(host.number + 1) % m_settings.vms];
        deliver(other, other.life, message);
    }
    deliver(host, life, std::move(message));
}

void world::release(engine_host &engine, const attempt_label &attempt)
{
    engine.running.erase(attempt);
    m_oracle.onMemoryFreed(engine.description.name, attempt);
}

void world::execute(vm_host &host, const dispatch_prefill &value)
{
    auto *const engine = engineOf(value.endpoint);
    const auto life = host.life;
    const auto attempt = value.attempt;
    const auto fail = [this, &host, life, attempt](const char *code, bool mayHaveRun) {
        after(milliseconds(1), [=, this, &host] { reply(host, life, attempt, attempt_failed{attempt, code, mayHaveRun}); });
    };
    m_oracle.onDispatch(attempt, value.endpoint, {}, value.prompt, m_clock.now());
    if (engine == nullptr || !engine->alive) {
        fail("connect", false);
        return;
    }
    if (engine->cancelled.contains(attempt)) {
        fail("cancelled", false);
        return;
    }
    engine->running[attempt] = {life, host.number, false, "", value.prompt, value.promptTokens};
    m_oracle.onMemoryHeld(value.endpoint, attempt, m_clock.now());
    engine->freeAt = std::max(engine->freeAt, m_clock.now()) + std::chrono::microseconds(50) * value.promptTokens;
    at(engine->freeAt, [this, engine, attempt, &host, life] {
        const auto found = engine->running.find(attempt);
        if (found == engine->running.end() || !engine->alive) {
            return;
        }
        found->second.held = true;
        found->second.kvId = engine->description.name.value + "-" + std::to_string(engine->nextKv++);
        reply(host, life, attempt, prefill_done{attempt, found->second.kvId, 0});
        after(evictAfter, [this, engine, attempt] { release(*engine, attempt); });
    });
    after(value.timeout, [this, &host, life, attempt, engine] {
        const auto found = engine->running.find(attempt);
        if (found != engine->running.end() && !found->second.held) {
            reply(host, life, attempt, attempt_failed{attempt, "timeout", true});
        }
    });
}

void world::execute(vm_host &host, const dispatch_decode &value)
{
    m_oracle.onDispatch(value.attempt, value.endpoint, {}, value.prompt, m_clock.now());
    after(jitter(std::chrono::microseconds(200), milliseconds(1)), [this, &host, life = host.life, value] { startDecode(host, life, value); });
}

void world::startDecode(vm_host &host, std::uint64_t life, const dispatch_decode &value)
{
    auto *const engine = engineOf(value.endpoint);
    const auto attempt = value.attempt;
    const auto fail = [&](const char *code, bool mayHaveRun) { reply(host, life, attempt, attempt_failed{attempt, code, mayHaveRun}); };
    if (engine == nullptr || !engine->alive) {
        fail("connect", false);
        return;
    }
    if (engine->cancelled.contains(attempt) || engine->running.contains(attempt)) {
        fail("cancelled", false);
        return;
    }
    if (static_cast<int>(engine->running.size()) >= decodeSlots) {
        fail("memory_full", false);
        return;
    }
    auto *const source = engineAt(value.kvSource);
    const bool found = source != nullptr && std::any_of(source->running.begin(), source->running.end(), [&](const auto &entry) {
                           return entry.second.kvId == value.kvId && entry.second.held;
                       });
    if (!found) {
        fail("kv_evicted", false);
        return;
    }
    if (m_stallUntil > m_clock.now()) {
        after(seconds(2), [this, &host, life, attempt] { reply(host, life, attempt, attempt_failed{attempt, "transfer_stalled", false}); });
        return;
    }
    release(*source, attempt);
    engine->running[attempt] = {life, host.number, false, "", value.prompt, value.maxTokens};
    m_oracle.onMemoryHeld(value.endpoint, attempt, m_clock.now());
    after(milliseconds(5) + tokenInterval, [this, engine, attempt, from = value.resumeFrom] { nextToken(*engine, attempt, from); });
}

void world::nextToken(engine_host &engine, const attempt_label &attempt, std::int32_t position)
{
    const auto found = engine.running.find(attempt);
    if (found == engine.running.end() || !engine.alive) {
        return;
    }
    const auto work = found->second;
    auto &host = *m_vms[work.vm];
    if (position >= work.tokens) {
        release(engine, attempt);
        reply(host, work.life, attempt, decode_done{attempt, "length", work.tokens});
        return;
    }
    reply(host, work.life, attempt, decoded_token{attempt, position, expectedToken(work.prompt, position)});
    after(tokenInterval, [this, &engine, attempt, position] { nextToken(engine, attempt, position + 1); });
}

void world::execute(vm_host &host, const dispatch_plain &value)
{
    auto *const engine = engineOf(value.endpoint);
    const auto life = host.life;
    const auto attempt = value.attempt;
    m_oracle.onDispatch(attempt, value.endpoint, value.headers, value.body, m_clock.now());
    after(jitter(std::chrono::microseconds(200), milliseconds(1)),
          [this, &host, life, attempt, engine, method = value.method, body = value.body, timeout = value.timeout] {
              if (engine == nullptr || !engine->alive) {
                  reply(host, life, attempt, attempt_failed{attempt, "connect", false});
                  return;
              }
              if (method == "POST") {
                  m_oracle.onRun(attempt);
              }
              if (m_serviceAnswersToLose > 0) {
                  --m_serviceAnswersToLose;
                  reply(host, life, attempt, attempt_failed{attempt, "closed", true});
                  return;
              }
              const auto time = jitter(milliseconds(2), milliseconds(8)) + jitter(duration{}, m_network.extraDelay);
              after(std::min(time, timeout), [this, &host, life, attempt, engine, body, late = time > timeout] {
                  if (late || !engine->alive) {
                      reply(host, life, attempt, attempt_failed{attempt, late ? "timeout" : "closed", true});
                  } else {
                      reply(host, life, attempt, plain_response{attempt, 200, {}, body});
                  }
              });
          });
}

void world::execute(vm_host &, const cancel_attempt &value)
{
    auto *const engine = engineOf(value.endpoint);
    if (engine == nullptr || chance(m_network.drop)) {
        return;
    }
    after(jitter(std::chrono::microseconds(200), milliseconds(2)), [this, engine, attempt = value.attempt] {
        if (!engine->alive) {
            return;
        }
        engine->cancelled[attempt] = m_clock.now() + cancelMemory;
        release(*engine, attempt);
    });
}

void world::execute(vm_host &host, const close_attempt &value)
{
    host.closed.insert(value.attempt);
}

void world::execute(vm_host &host, const read_load &value)
{
    ++m_traffic.loadReads;
    auto *const engine = engineOf(value.endpoint);
    load_report report;
    report.endpoint = value.endpoint;
    report.reachable = engine != nullptr && engine->alive;
    if (report.reachable) {
        report.role = engine->description.role;
        report.models = {"model"};
        for (const auto &[attempt, work] : engine->running) {
            (work.held ? report.held : report.running).push_back(attempt);
        }
        report.slotsTotal = decodeSlots;
        report.slotsUsed = static_cast<std::int32_t>(engine->running.size());
        report.kvBlocksTotal = engine->description.kvBlocks;
        report.kvBlocksUsed = report.slotsUsed;
        report.age = reportLag;
    }
    after(reportLag, [this, &host, life = host.life, report] { deliver(host, life, report); });
}

void world::execute(vm_host &host, const read_cache_events &value)
{
    after(milliseconds(2), [this, &host, life = host.life, value] { deliver(host, life, cache_events{value.endpoint, value.from, {}}); });
}

void world::execute(vm_host &host, const send_order &value)
{
    auto *const engine = engineOf(value.endpoint);
    if (engine == nullptr || !engine->alive) {
        return;
    }
    engine->fencing = value.fencing;
    engine->state = value.order;
    after(milliseconds(2), [this, &host, life = host.life, value] { deliver(host, life, order_answer{value.endpoint, value.fencing, std::nullopt}); });
}

void world::execute(vm_host &host, const read_endpoint_state &value)
{
    auto *const engine = engineOf(value.endpoint);
    endpoint_state_answer answer;
    answer.endpoint = value.endpoint;
    answer.reachable = engine != nullptr && engine->alive;
    if (answer.reachable) {
        answer.role = engine->description.role;
        answer.model = engine->description.model;
        answer.version = engine->state.version.empty() ? "1" : engine->state.version;
        answer.fencing = engine->fencing;
    }
    after(milliseconds(2), [this, &host, life = host.life, answer] { deliver(host, life, answer); });
}

void world::killEndpoint(int endpoint)
{
    auto &engine = *m_engines[endpoint % m_engines.size()];
    if (!engine.alive) {
        return;
    }
    engine.alive = false;
    const auto running = engine.running;
    for (const auto &[attempt, work] : running) {
        release(engine, attempt);
        reply(*m_vms[work.vm], work.life, attempt, attempt_failed{attempt, "closed", true});
    }
    engine.freeAt = {};
    engine.cancelled.clear();
}

void world::restoreEndpoint(int endpoint)
{
    m_engines[endpoint % m_engines.size()]->alive = true;
}

void world::stallTransfers(duration time)
{
    m_stallUntil = m_clock.now() + time;
}

void world::loseServiceAnswers(int count)
{
    m_serviceAnswersToLose = count;
}

} // namespace plantainpoint::fuzz
