// time, VMs and callers of the world
#include "world_hosts.hpp"

namespace plantainpoint::fuzz {

world::world(world_settings settings, core_factory factory)
    : m_settings(settings)
    , m_factory(std::move(factory))
    , m_wallClock(m_clock)
    , m_random(settings.seed)
{
    m_clock.advance(seconds(100));
    const region_name region{"region"};
    const auto dataCentre = [](int number) { return data_centre_name{"dc-" + std::to_string(number)}; };
    for (int number = 0; number < settings.vms; ++number) {
        auto host = std::make_unique<vm_host>();
        host->number = number;
        host->name.value = "vm-" + std::to_string(number);
        host->dataCentreNumber = number % settings.dataCentres;
        host->dataCentre = dataCentre(host->dataCentreNumber);
        const double error = settings.skewClocks ? (number % 3 - 1) * 0.0005 : 0.0;
        host->clock = std::make_unique<skewed_clock>(m_clock, error);
        m_vms.push_back(std::move(host));
    }
    const auto addEndpoint = [&](const std::string &name, endpoint_role role) {
        auto engine = std::make_unique<engine_host>();
        const auto number = static_cast<int>(m_engines.size());
        engine->description.name.value = name;
        engine->description.address = addressOf(1, number);
        engine->description.dataCentre = dataCentre(number % settings.dataCentres);
        engine->description.region = region;
        engine->description.role = role;
        engine->description.slots = decodeSlots;
        if (role != endpoint_role::Plain) {
            engine->description.model.value = "model";
        }
        m_engines.push_back(std::move(engine));
    };
    for (int i = 0; i < settings.prefillWorkers; ++i) {
        addEndpoint("prefill-" + std::to_string(i), endpoint_role::Prefill);
    }
    for (int i = 0; i < settings.decodeWorkers; ++i) {
        addEndpoint("decode-" + std::to_string(i), endpoint_role::Decode);
    }
    for (int i = 0; i < settings.plainWorkers; ++i) {
        addEndpoint("plain-" + std::to_string(i), endpoint_role::Plain);
    }

    m_keyTexts = {"key-text-a1", "key-text-a2", "key-text-b1"};
    m_keyAccounts = {account_name{"a"}, account_name{"a"}, account_name{"b"}};
    m_assistant.name.value = "assistant";
    m_assistant.routes = {{"POST", "/v1/completions", route_kind::Model, route_access::Keyed, milliseconds(20'000)}};
    m_assistant.models = {{model_name{"model"}, "1", "", 32'000, 4'000, urgency::Interactive}};
    m_assistant.firstTokenTarget = milliseconds(5'000);
    m_assistant.accounts = {{account_name{"a"}, {5 * microTokensPerRequest, 8 * microTokensPerRequest}, 1000},
                            {account_name{"b"}, {2 * microTokensPerRequest, 3 * microTokensPerRequest}, 1000}};
    for (int i = 2; i < settings.accounts; ++i) {
        m_assistant.accounts.push_back({account_name{"account-" + std::to_string(i)}, {5 * microTokensPerRequest, 8 * microTokensPerRequest}, 1000});
        m_rota.clients.push_back(m_assistant.accounts.back().name);
    }
    for (std::size_t i = 0; i < m_keyTexts.size(); ++i) {
        m_assistant.keys.push_back({"key-" + std::to_string(i), digestOf(m_keyTexts[i]), m_keyAccounts[i]});
        m_oracle.addKey(m_keyTexts[i]);
        m_oracle.addKey(toHex(digestOf(m_keyTexts[i])));
    }
    m_rota.name.value = "rota";
    m_rota.routes = {{"GET", "/slots", route_kind::Lookup, route_access::Keyed, milliseconds(5'000)},
                     {"GET", "/open", route_kind::Lookup, route_access::Open, milliseconds(5'000)},
                     {"POST", "/bookings", route_kind::Booking, route_access::Keyed, milliseconds(5'000)}};
    m_rota.clients.insert(m_rota.clients.begin(), {account_name{"a"}, account_name{"b"}});
    for (const auto &engine : m_engines) {
        auto &service = engine->description.role == endpoint_role::Plain ? m_rota : m_assistant;
        service.endpoints.push_back(engine->description);
    }
}

world::~world() = default;

// --- time

void world::at(time_point when, action what)
{
    m_events.emplace(std::pair{std::max(when, m_clock.now()), m_eventSequence++}, std::move(what));
}

duration world::jitter(duration least, duration most)
{
    return duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
}

bool world::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

void world::run(duration time)
{
    const auto until = m_clock.now() + time;
    while (!m_events.empty() && m_events.begin()->first.first <= until) {
        auto node = m_events.extract(m_events.begin());
        m_clock.advanceTo(node.key().first);
        ++m_steps;
        node.mapped()();
    }
    m_clock.advanceTo(until);
    observe();
}

void world::observe()
{
    m_oracle.checkEngineMemory(m_clock.now());
    for (const auto &host : m_vms) {
        if (!host->alive || host->pausedUntil > m_clock.now() || !host->core->ready()) {
            continue;
        }
        const auto services = host->core->status().at("configuration").at("services");
        for (const auto &service : {m_assistant.name, m_rota.name}) {
            const auto version = services.contains(service.value) ? services.at(service.value).at("version").get<std::uint64_t>() : 0;
            const bool reachesLog = logReachable(*host) && m_logDownUntil <= m_clock.now();
            m_oracle.onApplied(host->core->self(), service, version, reachesLog, m_clock.now());
        }
    }
}

bool world::start()
{
    publishAssistant();
    publishRota();
    for (int vm = 0; vm < m_settings.vms; ++vm) {
        startVm(vm);
    }
    for (int second = 0; second < 30; ++second) {
        run(seconds(1));
        if (std::all_of(m_vms.begin(), m_vms.end(), [](const auto &host) { return host->core->ready(); })) {
            run(seconds(3));
            return true;
        }
    }
    return false;
}

void world::settle()
{
    m_network = {};
    m_cutOff.reset();
    m_logDownUntil = {};
    m_logDelay = {};
    m_stallUntil = {};
    m_answersToLose = 0;
    m_appendDelay = {};
    m_serviceAnswersToLose = 0;
    m_oracle.onHealed(m_clock.now());
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        restoreEndpoint(static_cast<int>(i));
    }
    for (int vm = 0; vm < m_settings.vms; ++vm) {
        m_vms[vm]->pausedUntil = {};
        if (!m_vms[vm]->alive) {
            startVm(vm);
        }
        drive(*m_vms[vm]);
    }
    for (int second = 0; second < 45; ++second) {
        run(seconds(1));
    }
}

// --- VMs

void world::startVm(int vm)
{
    auto &host = *m_vms[vm];
    if (host.alive) {
        return;
    }
    host.alive = true;
    host.stopping = false;
    ++host.life;
    host.closed.clear();
    host.backlog.clear();
    host.pausedUntil = {};
    host.firstIncarnation = host.life * incarnationsPerStart;
    vm_settings settings;
    settings.self = {host.name, host.firstIncarnation};
    settings.dataCentre = host.dataCentre;
    settings.region.value = "region";
    settings.peerAddress = host.address();
    settings.seed = m_random();
    host.core = m_factory(settings, *host.clock, m_wallClock);
    after(listLag, [this, &host, life = host.life] { host.listed = host.listed || (host.alive && host.life == life); });
    // seed peers of the settings
    const auto life = host.life;
    vm_list seeds;
    for (const auto &other : m_vms) {
        seeds.vms.push_back({other->name, other->address(), other->dataCentre, vm_condition::Live});
    }
    after(milliseconds(1), [this, &host, life, seeds] { deliver(host, life, seeds); });
}

void world::killVm(int vm)
{
    auto &host = *m_vms[vm];
    if (!host.alive) {
        return;
    }
    host.alive = false;
    host.core.reset();
    host.tickAt = time_point::max();
    after(listLag, [&host] { host.listed = host.alive; });
    for (const auto &[caller, number] : m_callVm) {
        if (number == vm) {
            m_oracle.onCallerDisconnected(caller, m_clock.now(), true);
        }
    }
}

void world::pauseVm(int vm, duration time)
{
    auto &host = *m_vms[vm];
    if (!host.alive) {
        return;
    }
    host.pausedUntil = std::max(host.pausedUntil, m_clock.now() + time);
    at(host.pausedUntil, [this, &host] { drive(host); });
}

void world::shutDownVm(int vm)
{
    auto &host = *m_vms[vm];
    if (!host.alive || host.stopping) {
        return;
    }
    host.stopping = true;
    deliver(host, host.life, shutdown_requested{});
}

void world::deliver(vm_host &host, std::uint64_t life, input message)
{
    if (!host.alive || host.life != life) {
        return;
    }
    host.backlog.push_back(std::move(message));
    drive(host);
}

void world::drive(vm_host &host)
{
    if (!host.alive || host.pausedUntil > m_clock.now()) {
        return;
    }
    const auto life = host.life;
    const auto begin = m_settings.measure ? processorTime() : std::chrono::nanoseconds{};
    auto messages = std::exchange(host.backlog, {});
    for (auto &message : messages) {
        host.core->handle(std::move(message));
    }
    host.core->tick();
    auto commands = host.core->take();
    if (m_settings.measure) {
        m_traffic.processorTime += processorTime() - begin;
    }
    for (auto &value : commands) {
        if (!host.alive || host.life != life) {
            return;
        }
        execute(host, std::move(value));
    }
    if (host.alive) {
        scheduleTick(host);
    }
}

void world::scheduleTick(vm_host &host)
{
    const auto wanted = std::max(host.clock->global(host.core->nextTick()) + std::chrono::microseconds(1), m_clock.now() + std::chrono::microseconds(100));
    if (host.tickAt <= wanted && host.tickAt > m_clock.now()) {
        return;
    }
    host.tickAt = wanted;
    at(wanted, [this, &host, life = host.life, wanted] {
        if (host.life == life && host.tickAt == wanted) {
            host.tickAt = time_point::max();
            drive(host);
        }
    });
}

void world::execute(vm_host &host, command &&value)
{
    std::visit([&](const auto &alternative) { execute(host, alternative); }, value);
}

world::vm_host *world::hostOf(const vm_name &name)
{
    const auto found = std::find_if(m_vms.begin(), m_vms.end(), [&](const auto &host) { return host->name == name; });
    return found == m_vms.end() ? nullptr : found->get();
}

void world::execute(vm_host &host, const stopped &)
{
    m_oracle.onStopped(host.name, m_clock.now());
    // callers that are still connected lose their connection with the process
    after(duration{}, [this, number = host.number, life = host.life] {
        if (m_vms[number]->life == life) {
            killVm(number);
        }
    });
}

// --- callers

void world::call(call_kind kind, int key, int vm, int idempotency, std::int32_t tokens)
{
    auto &host = *m_vms[vm];
    if (!host.alive || host.stopping) {
        return; // the balancer sends nothing there
    }
    call_record record;
    record.id = m_nextCaller++;
    record.kind = kind;
    record.key = kind == call_kind::OpenLookup ? -1 : key;
    record.vm = host.name;
    record.sentAt = m_clock.now();
    if (record.key >= 0) {
        record.account = m_keyAccounts[key];
    }
    caller_request request;
    request.caller = record.id;
    if (record.key >= 0) {
        request.key = digestOf(m_keyTexts[key]);
    }
    request.method = kind == call_kind::Lookup || kind == call_kind::OpenLookup ? "GET" : "POST";
    request.body = std::to_string(record.id);
    switch (kind) {
    case call_kind::Completion:
        request.path = "/v1/completions";
        record.prompt = "prompt of caller " + std::to_string(record.id);
        record.wantedTokens = tokens;
        request.completion = completion_call{model_name{"model"}, record.prompt, 500 + 10 * tokens, tokens, true, false};
        break;
    case call_kind::Lookup:
        request.path = "/slots";
        break;
    case call_kind::OpenLookup:
        request.path = "/open";
        break;
    case call_kind::Booking:
        request.path = "/bookings";
        break;
    case call_kind::KeyedBooking:
        request.path = "/bookings";
        record.idempotencyKey = "booking-" + std::to_string(idempotency);
        request.idempotencyKey = record.idempotencyKey;
        request.body = record.idempotencyKey;
        break;
    }
    m_callVm[record.id] = vm;
    m_oracle.onCall(record);
    deliver(host, host.life, std::move(request));
}

void world::callerLeaves(std::size_t index)
{
    const auto &calls = m_oracle.calls();
    const auto found = calls.find(index);
    if (found == calls.end() || found->second.goneAt || found->second.terminalAnswers > 0) {
        return;
    }
    m_oracle.onCallerDisconnected(index, m_clock.now(), false);
    auto &host = *m_vms[m_callVm[index]];
    deliver(host, host.life, caller_disconnected{index});
}

void world::execute(vm_host &, const request_admitted &value)
{
    m_oracle.onAdmitted(value, m_clock.now());
}

void world::execute(vm_host &, const request_relabelled &value)
{
    m_oracle.onRelabelled(value);
}

void world::execute(vm_host &, const answer_plain &value)
{
    m_oracle.onPlain(value, m_clock.now());
}

void world::execute(vm_host &host, const answer_token &value)
{
    m_oracle.onToken(value, !logReachable(host), m_clock.now());
}

void world::execute(vm_host &, const answer_done &value)
{
    m_oracle.onDone(value, m_clock.now());
}

void world::execute(vm_host &, const answer_failure &value)
{
    m_oracle.onFailure(value, m_clock.now());
}

} // namespace plantainpoint::fuzz
