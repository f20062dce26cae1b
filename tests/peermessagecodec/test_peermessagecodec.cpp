#define BOOST_TEST_MODULE PeerMessageCodec

#include "process/peermessagecodec.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace bulrush;
using namespace bulrush::io;

namespace {

MemberRecord member()
{
    MemberRecord record;
    record.host = HostName{"entry-a1"};
    record.domain = DomainName{"antwerp"};
    record.address = "127.0.0.1:4001";
    record.incarnation = Incarnation{"entry-a1#1"};
    record.generation = std::numeric_limits<std::uint64_t>::max();
    record.counter = 3;
    record.state = MemberState::Suspected;
    return record;
}

std::vector<PeerMessage::Body> everyKind()
{
    const VersionedItem item = makeItem({ItemKind::Assignment, "antwerp"}, {4, 9}, "a\n\"b\" é");
    const GossipUpdate news{{member()}, {item.header}};
    const Summary sure{1, std::numeric_limits<std::uint64_t>::max(), std::chrono::seconds{5}};
    Exchange exchange;
    exchange.members[31] = 7;
    return {Ping{5, sure, news},
            Ack{6, {1, 2, std::nullopt}, {}},
            GossipPush{news},
            IndirectPing{7, HostName{"b1"}},
            IndirectAck{8, member()},
            exchange,
            Delta{news},
            Fetch{{item.header.key}},
            Items{{item}}};
}

std::error_code errorOf(std::string_view text)
{
    PeerMessage message;
    return decodePeerMessage(text, message);
}

} // namespace

BOOST_AUTO_TEST_CASE(everyKindComesBackAsItWas)
{
    for (const PeerMessage::Body &body : everyKind()) {
        const PeerMessage sent{member(), body};
        const std::string text = encodePeerMessage(sent);
        PeerMessage received;
        BOOST_TEST(!decodePeerMessage(text, received));
        BOOST_TEST((received.sender == sent.sender));
        BOOST_TEST(received.body.index() == sent.body.index());
        BOOST_TEST(encodePeerMessage(received) == text);
    }
}

BOOST_AUTO_TEST_CASE(wrongMessagesAreToldApart)
{
    const std::string from = R"({"from":["a","d","x","a#1",1,0,0,"r"],)";
    BOOST_TEST(errorOf("") == PeerMessageError::NotJson);
    BOOST_TEST(errorOf("[]") == PeerMessageError::NotJson);
    BOOST_TEST(errorOf(std::string(100000, '[')) == PeerMessageError::NotJson);
    BOOST_TEST(errorOf("{}") == PeerMessageError::WrongField);
    BOOST_TEST(errorOf(from + R"("kind":"hello"})") == PeerMessageError::UnknownKind);
    BOOST_TEST(errorOf(from + R"("kind":"ping","sequence":-1,"holds":[1,2]})")
               == PeerMessageError::WrongField);
    BOOST_TEST(errorOf(from + R"("kind":"exchange","members":[1],"items":[1]})")
               == PeerMessageError::WrongField);
    BOOST_TEST(errorOf(R"({"from":["a","d","x","a#1",1,0,9,"r"],"kind":"news"})")
               == PeerMessageError::WrongField);
}
