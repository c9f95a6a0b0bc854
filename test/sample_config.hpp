// Builds valid configurations and records for tests.
#pragma once

#include <string>

#include "plantainpoint/config.hpp"
#include "plantainpoint/records.hpp"

namespace plantainpoint::sample {

inline client_account account(const std::string &name, std::int64_t rate = 20, std::int64_t burst = 40)
{
    return {account_name{name}, {rate * microTokensPerRequest, burst * microTokensPerRequest}, 100};
}

inline account_key key(const std::string &secret, const std::string &accountName)
{
    return {secret + "-id", digestOf(secret), account_name{accountName}};
}

inline endpoint plainEndpoint(const std::string &name, int port = 9000)
{
    endpoint worker;
    worker.name = endpoint_name{name};
    worker.address = "127.0.0.1:" + std::to_string(port);
    worker.dataCentre = data_centre_name{"dc-a"};
    worker.region = region_name{"reykjanes"};
    return worker;
}

// Returns a plain service with one lookup route, one booking route, one endpoint and one account.
inline service_config service(const std::string &name)
{
    service_config config;
    config.name = service_name{name};
    config.routes.push_back({"GET", "/" + name + "/slots", route_kind::Lookup, route_access::Keyed, std::chrono::milliseconds(2000)});
    config.routes.push_back({"POST", "/" + name + "/book/*", route_kind::Booking, route_access::Keyed, std::chrono::milliseconds(5000)});
    config.endpoints.push_back(plainEndpoint(name + "-worker"));
    config.accounts.push_back(account(name + "-account"));
    config.keys.push_back(key(name + "-secret", name + "-account"));
    return config;
}

inline publication publish(service_config config, std::uint64_t base, const std::string &author = "operator")
{
    publication record{std::move(config), base, author, {}, false, 0};
    record.digest = contentDigest(record);
    return record;
}

inline record_id recordId(std::uint64_t sequence, const std::string &vm = "vm-1")
{
    return {incarnation_id{vm_name{vm}, 1}, sequence};
}

} // namespace plantainpoint::sample
