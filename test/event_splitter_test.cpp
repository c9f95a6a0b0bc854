// Tests the splitting of event streams into events when reads end at any byte.
#include <boost/test/unit_test.hpp>

#include "event_splitter.hpp"

using namespace plantainpoint;

BOOST_AUTO_TEST_SUITE(event_splitter_bytes)

// Guards against bytes that are lost, duplicated or passed on before their event is complete, wherever a read ends.
BOOST_AUTO_TEST_CASE(everySplitGivesTheSameEvents)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 22\r\ndata: b\r\n\r\nx-note: 7\nid:3\ndata:\n\nid: 4\nda";
    for (std::size_t splitPosition = 0; splitPosition <= stream.size(); ++splitPosition) {
        event_splitter splitter;
        std::string forwarded;
        std::vector<std::uint64_t> ids;
        const auto onEvent = [&](std::string_view event, std::optional<std::uint64_t> id) {
            forwarded += event;
            ids.push_back(id.value_or(0));
        };
        splitter.feed(stream.substr(0, splitPosition), onEvent);
        splitter.feed(stream.substr(splitPosition), onEvent);
        BOOST_TEST(forwarded + std::string(splitter.rest()) == stream);
        BOOST_TEST(splitter.rest() == "id: 4\nda");
        BOOST_TEST((ids == std::vector<std::uint64_t>{1, 22, 3}));
    }
}

// Guards against an id that is not a number being read as one.
BOOST_AUTO_TEST_CASE(nonNumericIdsAreIgnored)
{
    event_splitter splitter;
    bool hasNoId = false;
    splitter.feed("id: x\n\n", [&](std::string_view, std::optional<std::uint64_t> id) { hasNoId = !id; });
    BOOST_TEST(hasNoId);
}

BOOST_AUTO_TEST_SUITE_END()
