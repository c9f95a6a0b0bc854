// A small simulated fleet in virtual time: real decision cores with fakes of the log, engines, services, network, callers and operators.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "log_state.hpp"
#include "oracle.hpp"
#include "plantainpoint/vm_core.hpp"

namespace plantainpoint::fuzz {

// Core that the simulated fleet drives, which is the production core or a mutant.
class tested_core
{
public:
    virtual ~tested_core() = default;
    virtual void handle(input message) = 0;
    virtual void tick() = 0;
    virtual std::vector<command> take() = 0;
    virtual time_point nextTick() const = 0;
    virtual bool ready() const = 0;
    virtual incarnation_id self() const = 0;
    virtual nlohmann::json status() const = 0;
};

using core_factory = std::function<std::unique_ptr<tested_core>(const vm_settings &, const clock_source &, const wall_clock_source &)>;

// Clock of a VM that runs fast or slow by a constant fraction.
class skewed_clock final : public clock_source
{
public:
    skewed_clock(const manual_clock &globalClock, double rateError)
        : m_globalClock(globalClock)
        , m_rateError(rateError)
    {
    }

    time_point now() const override { return toLocal(m_globalClock.now()); }
    time_point toLocal(time_point globalTime) const
    {
        const auto elapsed = globalTime.time_since_epoch();
        return time_point(elapsed + std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>(elapsed.count() * m_rateError)));
    }
    // Returns the global time at which this clock shows `localTime`.
    time_point toGlobal(time_point localTime) const
    {
        return time_point(duration(static_cast<std::int64_t>(localTime.time_since_epoch().count() / (1.0 + m_rateError))));
    }

private:
    const manual_clock &m_globalClock;
    double m_rateError;
};

class virtual_wall_clock final : public wall_clock_source
{
public:
    explicit virtual_wall_clock(const manual_clock &globalClock)
        : m_globalClock(globalClock)
    {
    }
    wall_millis now() const override { return 1'700'000'000'000 + m_globalClock.now().time_since_epoch() / milliseconds(1); }

private:
    const manual_clock &m_globalClock;
};

// Probabilities and delays of faults in the network between VMs, and between VMs and endpoints.
struct network_faults {
    double drop = 0;
    double duplicate = 0;
    duration extraDelay{};
};

struct world_settings {
    int vms = 5;
    int dataCentres = 3;
    std::uint64_t seed = 1;
    bool skewClocks = true;
    int prefillWorkers = 2;
    int decodeWorkers = 3;
    int plainWorkers = 2;
    int accounts = 2;
    bool measure = false; // Counts the bytes and the processor time.
};

// Cost of the control traffic of the fleet, summed over all VMs.
struct control_traffic {
    std::uint64_t peerMessages = 0;
    std::uint64_t peerBytes = 0; // Size as JSON, extrapolated from a sample.
    std::map<std::string, std::uint64_t> byMethod;
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::uint64_t loadReads = 0;
    std::chrono::nanoseconds processorTime{}; // Processor time of the cores.
};

class world
{
public:
    world(world_settings settings, core_factory factory);
    ~world();

    // Publishes the first configuration and runs until every VM is ready. Returns false if that takes more than 30 s.
    bool start();
    void run(duration time);
    // Ends every fault, restarts the VMs that were killed, and runs long enough for all callers to be answered and all engine memory to be freed.
    void settle();

    // Callers.
    void call(call_kind kind, int key, int vmNumber, int idempotency, std::int32_t tokens);
    void disconnectCaller(std::size_t index);

    // VMs, by number.
    void killVm(int vmNumber);
    void pauseVm(int vmNumber, duration time);
    void startVm(int vmNumber);
    void shutDownVm(int vmNumber);

    // Platform.
    void logDown(duration time);
    void setLogDelay(duration delay);
    void loseAppendAnswers(int count);
    void delayAppend(duration time);
    void truncateLog();
    void setNetwork(network_faults faults);
    // Separates the data centre from the others for a time. The log is reachable either only inside it (`logOnIsolatedSide`) or only outside it.
    void partition(int dataCentre, bool logOnIsolatedSide, duration time);

    // Endpoints, by number.
    void killEndpoint(int number);
    void restoreEndpoint(int number);
    void stallTransfers(duration time);
    void loseServiceAnswers(int count);

    // Operators.
    void withdrawKey(int key);
    void restoreKey(int key);
    void setLimit(int account, std::int64_t rate, std::int64_t burst);
    void drainEndpoint(int number);
    void returnEndpoint(int number);
    // Publishes two changes that are based on the same version.
    void race();

    const oracle &observer() const { return m_oracle; }
    std::uint64_t steps() const { return m_steps; }
    int vmCount() const { return m_settings.vms; }
    std::size_t callCount() const { return m_nextCaller; }
    const control_traffic &traffic() const { return m_traffic; }
    time_point now() const { return m_clock.now(); }

private:
    struct simulated_vm;
    struct simulated_endpoint;
    struct dispatch_record;

    using action = std::function<void()>;

    void scheduleAt(time_point eventTime, action event);
    void scheduleAfter(duration delay, action event) { scheduleAt(m_clock.now() + delay, std::move(event)); }
    duration jitter(duration minimum, duration maximum);
    bool chance(double probability);

    void deliver(simulated_vm &vm, std::uint64_t startNumber, input message);
    void drive(simulated_vm &vm);
    void scheduleTick(simulated_vm &vm);
    void execute(simulated_vm &vm, command &&value);

    void execute(simulated_vm &vm, const request_admitted &value);
    void execute(simulated_vm &vm, const request_relabelled &value);
    void execute(simulated_vm &vm, const answer_plain &value);
    void execute(simulated_vm &vm, const answer_token &value);
    void execute(simulated_vm &vm, const answer_done &value);
    void execute(simulated_vm &vm, const answer_failure &value);
    void execute(simulated_vm &vm, const dispatch_prefill &value);
    void execute(simulated_vm &vm, const dispatch_decode &value);
    void execute(simulated_vm &vm, const dispatch_plain &value);
    void execute(simulated_vm &vm, const cancel_attempt &value);
    void execute(simulated_vm &vm, const close_attempt &value);
    void execute(simulated_vm &vm, const read_load &value);
    void execute(simulated_vm &vm, const read_cache_events &value);
    void execute(simulated_vm &vm, const send_order &value);
    void execute(simulated_vm &vm, const read_endpoint_state &value);
    void execute(simulated_vm &vm, const append_log &value);
    void execute(simulated_vm &vm, const read_log &value);
    void execute(simulated_vm &vm, const read_vm_list &value);
    void execute(simulated_vm &vm, const send_peer &value);
    void execute(simulated_vm &, const log_line &) { }
    void execute(simulated_vm &vm, const stopped &value);

    // Delivers the answer of an endpoint to the VM, and with the faults of the network also a late copy or one to a wrong VM.
    void reply(simulated_vm &vm, std::uint64_t startNumber, const attempt_label &attempt, input message);
    void startDecode(simulated_vm &vm, std::uint64_t startNumber, const dispatch_decode &value);
    void nextToken(simulated_endpoint &endpoint, const attempt_label &attempt, std::int32_t position);
    void releaseMemory(simulated_endpoint &endpoint, const attempt_label &attempt);

    bool logReachable(const simulated_vm &vm) const;
    void countMessage(const peer_message &message);
    bool connected(const simulated_vm &a, const simulated_vm &b) const;
    void appendEntry(std::string payload);
    void answerLogRead(simulated_vm &vm, std::uint64_t startNumber, time_point sentAt, log_offset from);
    void publish(service_config service, std::uint64_t base, const std::string &author);
    void publishAssistant();
    void publishRota();
    void checkInvariants();
    vm_list currentVmList() const;
    simulated_vm *findVm(const vm_name &name);
    simulated_endpoint *findEndpoint(const endpoint_name &name);
    simulated_endpoint *findEndpointByAddress(const std::string &address);

    world_settings m_settings;
    control_traffic m_traffic;
    core_factory m_factory;
    manual_clock m_clock;
    virtual_wall_clock m_wallClock;
    std::mt19937_64 m_random;
    oracle m_oracle;

    std::map<std::pair<time_point, std::uint64_t>, action> m_events;
    std::uint64_t m_eventSequence = 0;
    std::uint64_t m_steps = 0;

    std::vector<std::unique_ptr<simulated_vm>> m_vms;
    std::vector<std::unique_ptr<simulated_endpoint>> m_endpoints;
    network_faults m_network;
    std::optional<int> m_isolatedDataCentre; // Data centre that a partition separates from the others.
    bool m_logOnIsolatedSide = false;
    time_point m_partitionEnd{};

    log_state m_referenceState; // State of a reader that sees every entry at once.
    std::vector<log_entry> m_log;
    log_offset m_logFirst = 0;
    time_point m_logDownUntil{};
    duration m_logDelay{};
    int m_appendAnswersToLose = 0;
    duration m_appendDelay{};
    std::uint64_t m_publicationCount = 0;
    time_point m_transfersStalledUntil{};
    int m_serviceAnswersToLose = 0;

    service_config m_assistant;
    service_config m_rota;
    std::vector<std::string> m_keyTexts;
    std::vector<account_name> m_keyAccounts;
    std::size_t m_nextCaller = 0;
    std::map<caller_id, int> m_callerVms;
};

} // namespace plantainpoint::fuzz
