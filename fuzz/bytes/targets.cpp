#include "targets.hpp"

namespace plantainpoint::bytes {

const std::vector<target> &targets()
{
    static const auto all = [] {
        std::vector<target> out;
        for (auto *const list : {coreTargets, peerTargets, fileTargets, fleetTargets, storeTargets, streamTargets, answerTargets, callerTargets}) {
            const auto each = list();
            out.insert(out.end(), each.begin(), each.end());
        }
        return out;
    }();
    return all;
}

} // namespace plantainpoint::bytes
