#include "connection/rpcmessage.h"

#include "connection/rpcclientcodec.h"

namespace bulrush::io {

namespace {

class RpcCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "rpc";
    }

    std::string message(int code) const override
    {
        switch (static_cast<RpcError>(code)) {
        case RpcError::Unreachable:
            return "the other daemon did not answer";
        case RpcError::Malformed:
            return "the answer is not JSON-RPC 2.0";
        case RpcError::Refused:
            return "the other daemon refused the call";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category &rpcCategory()
{
    static const RpcCategory category;
    return category;
}

std::error_code make_error_code(RpcError error)
{
    return {static_cast<int>(error), rpcCategory()};
}

std::string encodeRpcCall(const std::string &method, const Json::Value &parameters)
{
    return RpcClientCodec::encodeCall(method, parameters);
}

RpcReply decodeRpcReply(std::string_view text)
{
    RpcClientCodec::Reply reply = RpcClientCodec::decodeReply(std::string{text});
    switch (reply.kind) {
    case RpcClientCodec::Kind::Result:
        return {{}, {}, std::move(reply.result)};
    case RpcClientCodec::Kind::Error:
        return {RpcError::Refused, std::move(reply.message), {}};
    case RpcClientCodec::Kind::Malformed:
        break;
    }
    return {RpcError::Malformed, std::move(reply.message), {}};
}

} // namespace bulrush::io
