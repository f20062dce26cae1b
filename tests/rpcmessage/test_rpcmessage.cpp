#define BOOST_TEST_MODULE RpcMessage

#include "connection/rpcdispatcher.h"
#include "connection/rpcmessage.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>

using namespace bulrush::io;

namespace {

RpcReply callThrough(RpcDispatcher &dispatcher, const std::string &method)
{
    Json::Value parameters{Json::objectValue};
    parameters["number"] = 20;
    return decodeRpcReply(dispatcher.dispatch(encodeRpcCall(method, parameters)));
}

} // namespace

BOOST_AUTO_TEST_CASE(returnsResultOfCall)
{
    RpcDispatcher dispatcher;
    dispatcher.add("double", [](const Json::Value &parameters) {
        return Json::Value{parameters["number"].asInt() * 2};
    });

    const RpcReply reply = callThrough(dispatcher, "double");
    BOOST_TEST(!reply.error);
    BOOST_TEST(reply.result.asInt() == 40);
}

BOOST_AUTO_TEST_CASE(refusesInvalidParametersAndUnknownMethods)
{
    RpcDispatcher dispatcher;
    dispatcher.add("strict", [](const Json::Value &) -> Json::Value {
        throw std::invalid_argument("number: must be odd");
    });

    const RpcReply refused = callThrough(dispatcher, "strict");
    BOOST_TEST(refused.error == RpcError::Refused);
    BOOST_TEST(refused.message.find("number: must be odd") != std::string::npos);
    BOOST_TEST(callThrough(dispatcher, "unknown").error == RpcError::Refused);
}

BOOST_AUTO_TEST_CASE(reportsMalformedAnswers)
{
    BOOST_TEST(decodeRpcReply("<html>").error == RpcError::Malformed);
    BOOST_TEST(decodeRpcReply("{}").error == RpcError::Malformed);
}
