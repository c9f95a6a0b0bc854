#include "fleet_codec.hpp"

#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

#include "address.hpp"
#include "plantainpoint/cbor.hpp"
#include "plantainpoint/failure.hpp"

namespace plantainpoint {

using json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr int format = 8; // Version of the message format. Messages in another format are rejected.
constexpr char heartbeatKind = 'H';
constexpr char summaryKind = 'S';
constexpr char askKind = 'A';
constexpr char grantKind = 'G';
constexpr char recordAskKind = 'R';
constexpr char recordAnswerKind = 'K';
constexpr char originAskKind = 'Q';
constexpr char originAnswerKind = 'O';
constexpr std::size_t numberBytes = 8;
constexpr unsigned bitsPerByte = 8;

void appendNumber(std::string &out, std::uint64_t value)
{
    for (std::size_t i = numberBytes; i-- > 0;) {
        out += static_cast<char>(value >> (i * bitsPerByte) & 0xffU);
    }
}

std::uint64_t readNumber(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes.substr(0, numberBytes)) {
        value = value << bitsPerByte | static_cast<unsigned char>(byte);
    }
    return value;
}

// Returns a whole number, limited to the range of its type. A fraction is malformed, as its conversion is undefined outside of the range.
template<class Number>
Number wholeNumber(const json &in)
{
    if (!in.is_number_integer()) {
        throw std::invalid_argument("fleet message: expected a whole number");
    }
    constexpr auto low = std::numeric_limits<Number>::min();
    constexpr auto high = std::numeric_limits<Number>::max();
    if (in.is_number_unsigned()) {
        const auto value = in.get<std::uint64_t>();
        return std::cmp_greater(value, high) ? high : static_cast<Number>(value);
    }
    const auto value = in.get<std::int64_t>();
    if (std::cmp_less(value, low)) {
        return low;
    }
    return std::cmp_greater(value, high) ? high : static_cast<Number>(value);
}

json encodeKnowledge(const directory_knowledge &knowledge)
{
    json out{knowledge.configVersion,
             knowledge.configSize,
             knowledge.position,
             knowledge.lastChange,
             std::chrono::duration_cast<milliseconds>(knowledge.reannounceLeft).count(),
             knowledge.endpointEntries};
    if (knowledge.proofAge) {
        out.push_back(std::chrono::duration_cast<milliseconds>(*knowledge.proofAge).count());
    }
    return out;
}

directory_knowledge decodeKnowledge(const json &in)
{
    directory_knowledge knowledge{.configVersion = wholeNumber<std::uint64_t>(in.at(0)),
                                  .configSize = wholeNumber<std::size_t>(in.at(1)),
                                  .endpointEntries = wholeNumber<std::size_t>(in.at(5)),
                                  .position = wholeNumber<std::uint64_t>(in.at(2)),
                                  .lastChange = wholeNumber<std::uint64_t>(in.at(3)),
                                  .reannounceLeft = milliseconds{wholeNumber<std::uint32_t>(in.at(4))}};
    constexpr std::size_t proofIndex = 6;
    if (in.size() > proofIndex) {
        knowledge.proofAge = milliseconds{wholeNumber<std::uint32_t>(in.at(proofIndex))};
    }
    return knowledge;
}

json encodeMember(const fleet_member &member)
{
    json out{member.vm.value, member.address, member.dataCentre.value, member.capacity};
    if (member.keepsRecords) {
        out.push_back(true);
    }
    return out;
}

fleet_member decodeMember(const json &in)
{
    return {{in.at(0).get<std::string>()},
            in.at(1).get<std::string>(),
            {in.at(2).get<std::string>()},
            wholeNumber<std::int64_t>(in.at(3)),
            in.size() > 4 && in.at(4).get<bool>()};
}

template<class Element, class Encode>
json encodeList(const std::vector<Element> &list, Encode encode)
{
    json out = json::array();
    for (const auto &element : list) {
        out.push_back(encode(element));
    }
    return out;
}

template<class Element, class Decode>
std::vector<Element> decodeList(const json &in, Decode decode)
{
    std::vector<Element> out;
    for (const auto &element : in) {
        out.push_back(decode(element));
    }
    return out;
}

// The age is left out where it is not known. It is rounded up, as it is an upper bound.
json encodeEvacuation(const evacuation &each)
{
    json out{each.dataCentre.value, each.inForce, each.position};
    if (each.age != duration::max()) {
        out.push_back(std::chrono::ceil<milliseconds>(each.age).count());
    }
    return out;
}

evacuation decodeEvacuation(const json &in)
{
    evacuation out{{in.at(0).get<std::string>()}, in.at(1).get<bool>(), wholeNumber<std::uint64_t>(in.at(2)), duration::max()};
    if (!isEvacuable(out.dataCentre)) {
        throw std::invalid_argument("fleet message: expected a printable name of an evacuated data centre");
    }
    constexpr std::size_t ageIndex = 3;
    if (in.size() > ageIndex) {
        out.age = milliseconds{wholeNumber<std::uint32_t>(in.at(ageIndex))};
    }
    return out;
}

constexpr std::size_t coldIndex = 6; // Of the cold endpoints in the totals. Element 5 is that of the evacuations.

// Encodes loads, waiting requests, changed roles, admissions, leaving and cold endpoints and evacuations, which both messages carry.
template<class Message>
json encodeTotals(const Message &message)
{
    json out{encodeList(message.loads,
                        [](const auto &load) {
                            json out{load.endpoint.value, load.running, load.prefillTokens, load.kvTokens};
                            if (load.workTimePercent) {
                                out.push_back(*load.workTimePercent);
                            }
                            return out;
                        }),
             encodeList(message.waiting,
                        [](const auto &waiting) {
                            return json{waiting.service.value, waiting.requests};
                        }),
             encodeList(message.changingRole, [](const auto &name) { return json(name.value); }),
             encodeList(message.usage, [](const auto &usage) {
                 return json{usage.account.value, usage.admitted, usage.level};
             })};
    if (!message.leavingEndpoints.empty() || !message.evacuations.empty()) {
        out.push_back(encodeList(message.leavingEndpoints, [](const auto &endpoint) { return json{endpoint.name.value, endpoint.startedAt}; }));
    }
    if (!message.evacuations.empty()) {
        out.push_back(encodeList(message.evacuations, encodeEvacuation));
    }
    if (!message.coldEndpoints.empty()) {
        while (out.size() < coldIndex) {
            out.push_back(json::array());
        }
        out.push_back(encodeList(message.coldEndpoints, [](const auto &endpoint) {
            return json{endpoint.name.value, endpoint.startedAt, std::chrono::ceil<milliseconds>(endpoint.left).count()};
        }));
    }
    return out;
}

template<class Message>
void decodeTotals(const json &in, Message &message)
{
    message.loads = decodeList<endpoint_load>(in.at(0), [](const json &load) {
        endpoint_load out{{load.at(0).get<std::string>()},
                          wholeNumber<std::int32_t>(load.at(1)),
                          wholeNumber<std::int64_t>(load.at(2)),
                          wholeNumber<std::int64_t>(load.at(3)),
                          {}};
        // VMs that have heard no work time lately, or of an earlier version, send none.
        constexpr std::size_t workTimeIndex = 4;
        if (load.size() > workTimeIndex) {
            out.workTimePercent = wholeNumber<std::int32_t>(load.at(workTimeIndex));
        }
        return out;
    });
    message.waiting = decodeList<waiting_count>(in.at(1), [](const json &waiting) {
        return waiting_count{{waiting.at(0).get<std::string>()}, wholeNumber<std::int32_t>(waiting.at(1))};
    });
    message.changingRole = decodeList<endpoint_name>(in.at(2), [](const json &name) { return endpoint_name{name.get<std::string>()}; });
    message.usage = decodeList<account_usage>(in.at(3), [](const json &usage) {
        return account_usage{{usage.at(0).get<std::string>()}, usage.at(1).get<double>(), usage.at(2).get<double>()};
    });
    // VMs that know no leaving endpoint, or of an earlier version, send none.
    constexpr std::size_t leavingIndex = 4;
    if (in.size() > leavingIndex) {
        message.leavingEndpoints = decodeList<leaving_endpoint>(in.at(leavingIndex), [](const json &endpoint) {
            return leaving_endpoint{{endpoint.at(0).get<std::string>()}, wholeNumber<std::int64_t>(endpoint.at(1))};
        });
    }
    // VMs that know no evacuation, or of an earlier version, send none.
    constexpr std::size_t evacuationsIndex = 5;
    if (in.size() > evacuationsIndex) {
        message.evacuations = decodeList<evacuation>(in.at(evacuationsIndex), decodeEvacuation);
    }
    if (in.size() > coldIndex) {
        message.coldEndpoints = decodeList<cold_endpoint>(in.at(coldIndex), [](const json &endpoint) {
            return cold_endpoint{
                {endpoint.at(0).get<std::string>()}, wholeNumber<std::int64_t>(endpoint.at(1)), milliseconds{wholeNumber<std::uint32_t>(endpoint.at(2))}};
        });
    }
}

json encodeTraits(const std::vector<request_trait> &traits)
{
    return encodeList(traits, [](const auto &trait) { return json(trait.value); });
}

std::vector<request_trait> decodeTraits(const json &in)
{
    return decodeList<request_trait>(in, [](const json &name) { return request_trait{name.get<std::string>()}; });
}

std::int64_t toMilliseconds(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

duration readMilliseconds(const json &in)
{
    return milliseconds{wholeNumber<std::uint32_t>(in)};
}

json encodeEvidence(const crash_report &evidence)
{
    json out{encodeList(evidence.crashes,
                        [](const auto &crash) {
                            return json{crash.endpoint.value, crash.startedAt, toMilliseconds(crash.age), encodeList(crash.requests, encodeTraits)};
                        }),
             encodeList(evidence.answered,
                        [](const auto &answered) {
                            return json{answered.trait.value, toMilliseconds(answered.age)};
                        }),
             encodeList(evidence.quarantined, [](const auto &request) {
                 return json{encodeTraits(request.traits), toMilliseconds(request.left), toMilliseconds(request.age), request.crashes, request.released};
             })};
    if (evidence.digest != 0) {
        out.push_back(evidence.digest);
    }
    return out;
}

crash_report decodeEvidence(const json &in)
{
    crash_report evidence;
    evidence.crashes = decodeList<endpoint_crash>(in.at(0), [](const json &crash) {
        return endpoint_crash{{crash.at(0).get<std::string>()},
                              wholeNumber<std::int64_t>(crash.at(1)),
                              readMilliseconds(crash.at(2)),
                              decodeList<std::vector<request_trait>>(crash.at(3), decodeTraits)};
    });
    evidence.answered = decodeList<answered_trait>(in.at(1), [](const json &answered) {
        return answered_trait{{answered.at(0).get<std::string>()}, readMilliseconds(answered.at(1))};
    });
    evidence.quarantined = decodeList<quarantined_requests>(in.at(2), [](const json &request) {
        return quarantined_requests{decodeTraits(request.at(0)),
                                    readMilliseconds(request.at(1)),
                                    readMilliseconds(request.at(2)),
                                    wholeNumber<std::int32_t>(request.at(3)),
                                    request.at(4).get<bool>()};
    });
    // VMs that know no crash, or of an earlier version, send no digest.
    if (in.size() > 3) {
        evidence.digest = wholeNumber<std::uint32_t>(in.at(3));
    }
    return evidence;
}

json encodeLimit(const limit_report &report)
{
    constexpr std::int64_t noAge = -1;
    const auto ageOf = [](const std::optional<duration> &age) { return age ? toMilliseconds(*age) : noAge; };
    return {report.endpoint.value, report.perSecond, ageOf(report.namedAge), ageOf(report.unnamedAge)};
}

limit_report decodeLimit(const json &in)
{
    const auto ageOf = [](const json &age) {
        const auto value = wholeNumber<std::int32_t>(age);
        return value < 0 ? std::nullopt : std::optional<duration>(milliseconds{value});
    };
    return {{in.at(0).get<std::string>()}, in.at(1).get<double>(), ageOf(in.at(2)), ageOf(in.at(3))};
}

fleet_heartbeat readHeartbeat(const json &in)
{
    fleet_heartbeat heartbeatMessage;
    const auto member = decodeMember(in.at(1));
    heartbeatMessage.from = {member.vm, wholeNumber<std::uint64_t>(in.at(2))};
    heartbeatMessage.sequence = wholeNumber<std::uint64_t>(in.at(3));
    heartbeatMessage.address = member.address;
    heartbeatMessage.dataCentre = member.dataCentre;
    heartbeatMessage.capacity = member.capacity;
    heartbeatMessage.keepsRecords = member.keepsRecords;
    heartbeatMessage.leaving = in.at(4).get<bool>();
    heartbeatMessage.follows.value = in.at(5).get<std::string>();
    heartbeatMessage.knowledge = decodeKnowledge(in.at(6));
    decodeTotals(in.at(7), heartbeatMessage);
    heartbeatMessage.outcomes = decodeList<endpoint_outcomes>(in.at(8), [](const json &outcomes) {
        return endpoint_outcomes{{outcomes.at(0).get<std::string>()}, wholeNumber<std::uint16_t>(outcomes.at(1)), wholeNumber<std::uint16_t>(outcomes.at(2))};
    });
    // VMs of an earlier version send no evidence.
    if (in.size() > 9) {
        heartbeatMessage.evidence = decodeEvidence(in.at(9));
    }
    if (in.size() > 10) {
        heartbeatMessage.limits = decodeList<limit_report>(in.at(10), decodeLimit);
    }
    return heartbeatMessage;
}

std::int64_t toMicroseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

duration readMicroseconds(const json &in)
{
    return std::chrono::microseconds{wholeNumber<std::int32_t>(in)};
}

placement_ask readAsk(const json &in)
{
    placement_ask ask{.from = {{in.at(1).get<std::string>()}, wholeNumber<std::uint64_t>(in.at(2))},
                      .address = in.at(3).get<std::string>(),
                      .number = wholeNumber<std::uint64_t>(in.at(4)),
                      .heartbeat = wholeNumber<std::uint64_t>(in.at(5)),
                      .cancelled = in.at(6).get<bool>()};
    if (ask.cancelled) {
        return ask;
    }
    ask.service.value = in.at(7).get<std::string>();
    if (const auto &tokens = in.at(8); !tokens.empty()) {
        ask.tokens = token_count{wholeNumber<std::int64_t>(tokens.at(0)), wholeNumber<std::int64_t>(tokens.at(1)), {}};
        constexpr std::size_t likelyIndex = 2;
        if (tokens.size() > likelyIndex) {
            ask.tokens->likelyOutput = wholeNumber<std::int64_t>(tokens.at(likelyIndex));
        }
    }
    ask.mayPrefill = in.at(9).get<bool>();
    ask.priority = wholeNumber<std::int32_t>(in.at(10));
    ask.age = readMicroseconds(in.at(11));
    ask.objective = readMicroseconds(in.at(12));
    ask.timeLeft = readMicroseconds(in.at(13));
    ask.maxEventGap = readMicroseconds(in.at(14));
    ask.holdTime = readMicroseconds(in.at(15));
    ask.excluded = decodeList<endpoint_name>(in.at(16), [](const json &name) { return endpoint_name{name.get<std::string>()}; });
    ask.bound = std::erase_if(ask.excluded, [](const auto &name) { return name.empty(); }) > 0;
    ask.seed = wholeNumber<std::uint64_t>(in.at(17));
    ask.account.value = in.at(18).get<std::string>();
    ask.units = in.at(19).get<double>();
    constexpr std::size_t begunIndex = 20;
    if (in.size() > begunIndex) {
        ask.begun = in.at(begunIndex).get<bool>();
    }
    constexpr std::size_t versionIndex = 21;
    if (in.size() > versionIndex) {
        ask.version = software_version{in.at(versionIndex).get<std::string>()};
    }
    return ask;
}

placement_grant readGrant(const json &in)
{
    constexpr auto lastResult = static_cast<unsigned>(placement_result::LimitReached);
    return {.from = {{in.at(1).get<std::string>()}, wholeNumber<std::uint64_t>(in.at(2))},
            .receiverIncarnation = wholeNumber<std::uint64_t>(in.at(3)),
            .number = wholeNumber<std::uint64_t>(in.at(4)),
            .result = static_cast<placement_result>(std::min(wholeNumber<unsigned>(in.at(5)), lastResult)),
            .prefill = {in.at(6).get<std::string>()},
            .serving = {in.at(7).get<std::string>()},
            .expectedWait = readMicroseconds(in.at(8))};
}

record_keeping_ask readRecordAsk(const json &in)
{
    record_keeping_ask ask{.from = {{in.at(1).get<std::string>()}, wholeNumber<std::uint64_t>(in.at(2))},
                           .address = in.at(3).get<std::string>(),
                           .number = wholeNumber<std::uint64_t>(in.at(4)),
                           .stores = in.at(5).get<bool>()};
    ask.records = decodeList<stream_record>(in.at(6), [](const json &record) {
        return stream_record{wholeNumber<std::uint64_t>(record.at(0)), {{record.at(1).get<std::string>()}, {record.at(2).get<std::string>()}}};
    });
    return ask;
}

record_keeping_answer readRecordAnswer(const json &in)
{
    return {.from = {{in.at(1).get<std::string>()}, wholeNumber<std::uint64_t>(in.at(2))},
            .receiverIncarnation = wholeNumber<std::uint64_t>(in.at(3)),
            .number = wholeNumber<std::uint64_t>(in.at(4)),
            .stored = in.at(5).get<bool>()};
}

stream_origin_ask readOriginAsk(const json &in)
{
    return {.from = {{in.at(1).get<std::string>()}, wholeNumber<std::uint64_t>(in.at(2))},
            .address = in.at(3).get<std::string>(),
            .number = wholeNumber<std::uint64_t>(in.at(4)),
            .stream = wholeNumber<std::uint64_t>(in.at(5)),
            .isForHubs = in.at(6).get<bool>()};
}

stream_origin_answer readOriginAnswer(const json &in)
{
    stream_origin_answer answer{.from = {{in.at(1).get<std::string>()}, wholeNumber<std::uint64_t>(in.at(2))},
                                .receiverIncarnation = wholeNumber<std::uint64_t>(in.at(3)),
                                .number = wholeNumber<std::uint64_t>(in.at(4)),
                                .keepsFor = milliseconds{wholeNumber<std::uint32_t>(in.at(5))}};
    if (const auto &origin = in.at(6); !origin.empty()) {
        answer.origin = stream_origin{{origin.at(0).get<std::string>()}, {origin.at(1).get<std::string>()}};
    }
    answer.dataCentre = {in.at(7).get<std::string>()};
    answer.shared = decodeList<data_centre_name>(in.at(8), [](const json &name) { return data_centre_name{name.get<std::string>()}; });
    return answer;
}

fleet_summary readSummary(const json &in)
{
    fleet_summary summary;
    const auto member = decodeMember(in.at(1));
    summary.from = {member.vm, wholeNumber<std::uint64_t>(in.at(2))};
    summary.sequence = wholeNumber<std::uint64_t>(in.at(3));
    summary.address = member.address;
    summary.dataCentre = member.dataCentre;
    summary.capacity = member.capacity;
    summary.keepsRecords = member.keepsRecords;
    summary.leaving = in.at(4).get<bool>();
    summary.settled = in.at(5).get<bool>();
    summary.knowledge = decodeKnowledge(in.at(6));
    decodeTotals(in.at(7), summary);
    summary.scope = static_cast<summary_scope>(std::min<unsigned>(wholeNumber<unsigned>(in.at(8)), static_cast<unsigned>(summary_scope::Fleet)));
    summary.changesFrom = wholeNumber<std::uint64_t>(in.at(9));
    if (auto changes = in.at(10).get<std::string>(); !changes.empty()) {
        summary.changes = std::make_shared<const std::string>(std::move(changes));
    }
    summary.heardVms = wholeNumber<std::int32_t>(in.at(11));
    summary.memberVms = wholeNumber<std::int32_t>(in.at(12));
    summary.candidates = decodeList<fleet_member>(in.at(13), decodeMember);
    summary.hasLoads = in.at(14).get<bool>();
    if (in.size() > 15) {
        summary.evidence = decodeEvidence(in.at(15));
    }
    if (in.size() > 16) {
        summary.limits = decodeList<limit_report>(in.at(16), decodeLimit);
    }
    if (in.size() > 17) {
        const auto &defaults = in.at(17);
        summary.defaults =
            default_versions{decodeList<stream_origin>(defaults.at(1),
                                                       [](const json &origin) {
                                                           return stream_origin{{origin.at(0).get<std::string>()}, {origin.at(1).get<std::string>()}};
                                                       }),
                             readMilliseconds(defaults.at(0))};
    }
    return summary;
}

template<class Message>
absl::StatusOr<fleet_message> checked(Message message)
{
    if (message.from.vm.empty() || !parseAddress(message.address)) {
        return makeStatus(failure::MalformedMessage, "fleet message: expected a VM name that is not empty and an address of the form IP:PORT");
    }
    for (const auto &limit : message.limits) {
        if (!std::isfinite(limit.perSecond) || limit.perSecond < 0) {
            return makeStatus(failure::MalformedMessage, "fleet message: expected a finite number that is not negative as the limit of an endpoint");
        }
    }
    for (const auto &used : message.usage) {
        if (!std::isfinite(used.admitted) || std::isnan(used.level)) {
            return makeStatus(failure::MalformedMessage, "fleet message: expected a finite number as the usage of an account");
        }
    }
    return fleet_message{std::move(message)};
}

std::string toBytes(const json &in)
{
    std::string bytes;
    json::to_cbor(in, bytes);
    return bytes;
}

} // namespace

std::string encodeHeartbeat(const fleet_heartbeat &heartbeatMessage)
{
    json out{format,
             encodeMember(heartbeatMessage.member()),
             heartbeatMessage.from.number,
             heartbeatMessage.sequence,
             heartbeatMessage.leaving,
             heartbeatMessage.follows.value,
             encodeKnowledge(heartbeatMessage.knowledge),
             encodeTotals(heartbeatMessage),
             encodeList(heartbeatMessage.outcomes,
                        [](const auto &outcomes) {
                            return json{outcomes.endpoint.value, outcomes.successes, outcomes.failures};
                        }),
             encodeEvidence(heartbeatMessage.evidence)};
    if (!heartbeatMessage.limits.empty()) {
        out.push_back(encodeList(heartbeatMessage.limits, encodeLimit));
    }
    return heartbeatKind + toBytes(out);
}

std::string encodeAsk(const placement_ask &ask)
{
    json tokens = json::array();
    if (ask.tokens) {
        tokens = {ask.tokens->prompt, ask.tokens->output};
        if (ask.tokens->likelyOutput) {
            tokens.push_back(*ask.tokens->likelyOutput);
        }
    }
    // An empty name among the excluded ones says that the request is bound to its homes. Hubs of an earlier version look for no endpoint of this name.
    auto excluded = ask.excluded;
    if (ask.bound) {
        excluded.emplace_back();
    }
    json out{format,
             ask.from.vm.value,
             ask.from.number,
             ask.address,
             ask.number,
             ask.heartbeat,
             ask.cancelled,
             ask.service.value,
             tokens,
             ask.mayPrefill,
             ask.priority,
             toMicroseconds(ask.age),
             toMicroseconds(ask.objective),
             toMicroseconds(ask.timeLeft),
             toMicroseconds(ask.maxEventGap),
             toMicroseconds(ask.holdTime),
             encodeList(excluded, [](const auto &name) { return json(name.value); }),
             ask.seed,
             ask.account.value,
             ask.units,
             ask.begun};
    if (ask.version) {
        out.push_back(ask.version->value);
    }
    return askKind + toBytes(out);
}

std::string encodeGrant(const placement_grant &grant)
{
    const json out{format,
                   grant.from.vm.value,
                   grant.from.number,
                   grant.receiverIncarnation,
                   grant.number,
                   static_cast<unsigned>(grant.result),
                   grant.prefill.value,
                   grant.serving.value,
                   toMicroseconds(grant.expectedWait)};
    return grantKind + toBytes(out);
}

std::string encodeRecordAsk(const record_keeping_ask &ask)
{
    const json out{format, ask.from.vm.value, ask.from.number, ask.address, ask.number, ask.stores, encodeList(ask.records, [](const auto &record) {
                       return json{record.stream, record.origin.service.value, record.origin.version.value};
                   })};
    return recordAskKind + toBytes(out);
}

std::string encodeRecordAnswer(const record_keeping_answer &answer)
{
    const json out{format, answer.from.vm.value, answer.from.number, answer.receiverIncarnation, answer.number, answer.stored};
    return recordAnswerKind + toBytes(out);
}

std::string encodeOriginAsk(const stream_origin_ask &ask)
{
    const json out{format, ask.from.vm.value, ask.from.number, ask.address, ask.number, ask.stream, ask.isForHubs};
    return originAskKind + toBytes(out);
}

std::string encodeOriginAnswer(const stream_origin_answer &answer)
{
    const auto origin = answer.origin ? json{answer.origin->service.value, answer.origin->version.value} : json::array();
    const json out{format,
                   answer.from.vm.value,
                   answer.from.number,
                   answer.receiverIncarnation,
                   answer.number,
                   toMilliseconds(answer.keepsFor),
                   origin,
                   answer.dataCentre.value,
                   encodeList(answer.shared, [](const auto &dataCentre) { return json(dataCentre.value); })};
    return originAnswerKind + toBytes(out);
}

std::string encodeSummaryBody(const fleet_summary &summary)
{
    json out{format,
             encodeMember(summary.member()),
             summary.from.number,
             summary.sequence,
             summary.leaving,
             summary.settled,
             encodeKnowledge(summary.knowledge),
             encodeTotals(summary),
             static_cast<unsigned>(summary.scope),
             summary.changesFrom,
             summary.changes ? *summary.changes : std::string{},
             summary.heardVms,
             summary.memberVms,
             encodeList(summary.candidates, encodeMember),
             summary.hasLoads,
             encodeEvidence(summary.evidence)};
    if (!summary.limits.empty() || summary.defaults) {
        out.push_back(encodeList(summary.limits, encodeLimit));
    }
    if (summary.defaults) {
        out.push_back({toMilliseconds(summary.defaults->age), encodeList(summary.defaults->origins, [](const auto &origin) {
                           return json{origin.service.value, origin.version.value};
                       })});
    }
    return toBytes(out);
}

std::string encodeSummary(std::string_view body, std::uint64_t receiverIncarnation, std::uint64_t acknowledged)
{
    std::string out;
    out.reserve(1 + 2 * numberBytes + body.size());
    out += summaryKind;
    appendNumber(out, receiverIncarnation);
    appendNumber(out, acknowledged);
    out += body;
    return out;
}

absl::StatusOr<fleet_message> decodeFleetMessage(std::string_view bytes)
{
    const char kind = bytes.empty() ? '\0' : bytes.front();
    const std::size_t prefix = kind == summaryKind ? 1 + 2 * numberBytes : 1;
    if (bytes.size() < prefix || std::string_view("HSAGRKQO").find(kind) == std::string_view::npos) {
        return makeStatus(
            failure::MalformedMessage,
            "fleet message: expected a heartbeat, a summary, or an ask for a place, for keeping records or for the origin of a stream or the answer to one");
    }
    try {
        const auto document = parseCbor(bytes.substr(prefix), failure::MalformedMessage);
        if (!document.ok()) {
            return document.status();
        }
        const auto &in = *document;
        if (!in.is_array() || in.empty() || in[0] != format) {
            return makeStatus(failure::MalformedMessage, "fleet message: expected an array that starts with format number 8");
        }
        if (kind == heartbeatKind) {
            return checked(readHeartbeat(in));
        }
        if (kind == askKind) {
            auto ask = readAsk(in);
            if (!std::isfinite(ask.units) || ask.units < 0) {
                return makeStatus(failure::MalformedMessage, "ask: expected a number of units that is not negative");
            }
            return parseAddress(ask.address) ? absl::StatusOr<fleet_message>(std::move(ask))
                                             : makeStatus(failure::MalformedMessage, "ask: expected an address of the form IP:PORT");
        }
        if (kind == grantKind) {
            return fleet_message{readGrant(in)};
        }
        if (kind == recordAskKind) {
            auto ask = readRecordAsk(in);
            return parseAddress(ask.address) ? absl::StatusOr<fleet_message>(std::move(ask))
                                             : makeStatus(failure::MalformedMessage, "ask for keeping records: expected an address of the form IP:PORT");
        }
        if (kind == recordAnswerKind) {
            return fleet_message{readRecordAnswer(in)};
        }
        if (kind == originAskKind) {
            auto ask = readOriginAsk(in);
            return parseAddress(ask.address) ? absl::StatusOr<fleet_message>(std::move(ask))
                                             : makeStatus(failure::MalformedMessage, "ask for an origin: expected an address of the form IP:PORT");
        }
        if (kind == originAnswerKind) {
            return fleet_message{readOriginAnswer(in)};
        }
        auto summary = readSummary(in);
        summary.receiverIncarnation = readNumber(bytes.substr(1));
        summary.acknowledged = readNumber(bytes.substr(1 + numberBytes));
        return checked(std::move(summary));
    } catch (const json::exception &error) {
        return makeStatus(failure::MalformedMessage, error.what());
    } catch (const std::invalid_argument &error) {
        return makeStatus(failure::MalformedMessage, error.what());
    }
}

} // namespace plantainpoint
